package org.magnoliapick.gateway;

/**
 * A record of a keyed topic.
 *
 * @param key its key
 * @param value its value; empty if the key was dropped
 * @param offset its offset
 */
public record StoreRecord(String key, byte[] value, long offset) {
    /** Returns whether the record drops its key. */
    public boolean isTombstone() {
        return value.length == 0;
    }
}
