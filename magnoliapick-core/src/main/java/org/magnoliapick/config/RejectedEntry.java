package org.magnoliapick.config;

import java.util.Optional;

/**
 * A log entry that was rejected and changes no setting.
 *
 * @param offset the log offset of the entry
 * @param appendedAtMillis when the entry was appended, in milliseconds since the epoch
 * @param id the entry's identifier; empty if not readable
 * @param author the entry's author; empty if not readable
 * @param fault why the entry was rejected
 */
public record RejectedEntry(
        long offset, long appendedAtMillis, String id, String author, EntryFault fault) {
    /** Returns the path with the fault; empty if the fault concerns the entry as a whole. */
    public Optional<String> path() {
        return fault.path().isEmpty() ? Optional.empty() : Optional.of(fault.path());
    }
}
