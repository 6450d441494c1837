package org.magnoliapick.config;

import java.util.Optional;

/**
 * A log entry that changes nothing.
 *
 * @param offset its offset
 * @param appendedAtMillis when the log took it, in milliseconds since the epoch
 * @param id its identifier; empty where it could not be read
 * @param author who appended it; empty where it could not be read
 * @param fault what is wrong with it
 */
public record RejectedEntry(
        long offset, long appendedAtMillis, String id, String author, EntryFault fault) {
    /** Returns the path that is at fault, if one is. */
    public Optional<String> path() {
        return fault.path().isEmpty() ? Optional.empty() : Optional.of(fault.path());
    }
}
