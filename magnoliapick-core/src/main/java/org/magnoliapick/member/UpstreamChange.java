package org.magnoliapick.member;

import java.nio.ByteBuffer;

/**
 * A record in the list of upstreams that changed the set of usable upstreams.
 *
 * @param key the record's key
 * @param value the record's value; empty if the key was deleted
 * @param offset the record's offset
 * @param readMillis when it was read from the store, by this instance's clock
 */
public record UpstreamChange(String key, ByteBuffer value, long offset, long readMillis) {
    /** Makes the value read-only. */
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
