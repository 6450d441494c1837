package org.magnoliapick.gateway;

import java.nio.charset.StandardCharsets;

/**
 * A record of a keyed topic.
 *
 * @param key the key
 * @param value the value; empty if the record deletes the key
 * @param offset the offset in the topic
 */
public record StoreRecord(String key, byte[] value, long offset) {
    /** How much of a value a log line shows. */
    private static final int EXCERPT_BYTES = 200;

    /** Returns whether the record deletes its key. */
    public boolean isTombstone() {
        return value.length == 0;
    }

    /** Returns the beginning of the value as text, for log lines. */
    public String excerpt() {
        int length = Math.min(EXCERPT_BYTES, value.length);
        return new String(value, 0, length, StandardCharsets.UTF_8);
    }
}
