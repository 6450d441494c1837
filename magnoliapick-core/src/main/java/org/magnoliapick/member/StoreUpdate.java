package org.magnoliapick.member;

import java.util.List;

/**
 * What an instance that reads the store tells others of it.
 *
 * @param fromOffset for whom it is: those who know the list of upstreams at least up to here
 * @param listOffset up to which offset the list was read
 * @param listAgeMillis how long ago the list ended there
 * @param changes what changed in between
 * @param configOffset up to which offset the configuration was read
 * @param configAgeMillis how long ago the configuration ended there
 */
public record StoreUpdate(
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
