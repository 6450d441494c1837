package org.magnoliapick.member;

import java.nio.ByteBuffer;

/**
 * A record of the list of upstreams that changed which of them may be used.
 *
 * @param key its key
 * @param value its value; empty if the key was dropped
 * @param offset its offset
 */
public record UpstreamChange(String key, ByteBuffer value, long offset) {
    /** Keeps readers from moving in the value. */
    public UpstreamChange {
        value = value.asReadOnlyBuffer();
    }

    /** Returns a copy of the value's bytes. */
    public byte[] valueBytes() {
        byte[] bytes = new byte[value.remaining()];
        value.duplicate().get(bytes);
        return bytes;
    }
}
