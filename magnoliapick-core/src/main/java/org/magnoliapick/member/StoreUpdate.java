package org.magnoliapick.member;

import java.util.List;

/**
 * What an instance that reads the store relays to the others.
 *
 * @param epoch the epoch of the store's logs to which the offsets belong
 * @param fromOffset the offset up to which a receiver must know the list of upstreams for the
 *     changes to be complete
 * @param listOffset the offset up to which the list was read
 * @param listAgeMillis the time since the list ended at that offset
 * @param changes the changes between the two offsets
 * @param configOffset the offset up to which the configuration was read
 * @param configAgeMillis the time since the configuration ended at that offset
 */
public record StoreUpdate(
        long epoch,
        long fromOffset,
        long listOffset,
        long listAgeMillis,
        List<UpstreamChange> changes,
        long configOffset,
        long configAgeMillis) {
    /** Copies the list. */
    public StoreUpdate {
        changes = List.copyOf(changes);
    }
}
