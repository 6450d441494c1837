package org.magnoliapick.gateway;

/**
 * A record of a keyed topic.
 *
 * @param key the key
 * @param value the value; empty if the record deletes the key
 * @param offset the offset in the topic
 */
public record StoreRecord(String key, byte[] value, long offset) {
    /** Returns whether the record deletes its key. */
    public boolean isTombstone() {
        return value.length == 0;
    }
}
