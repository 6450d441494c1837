package org.magnoliapick.config;

import java.util.List;
import java.util.Optional;

/** The result of applying a log entry. */
public sealed interface ApplyResult {
    /**
     * The entry was accepted and its changes are in effect.
     *
     * @param offset the log offset of the entry
     * @param paths the paths that the entry sets or removes, sorted
     */
    record Accepted(long offset, List<String> paths) implements ApplyResult {
        public Accepted {
            paths = List.copyOf(paths);
        }
    }

    /**
     * The entry was rejected and changes no setting, on this and every other reader.
     *
     * @param entry the rejected entry with its fault
     */
    record Rejected(RejectedEntry entry) implements ApplyResult {}

    /**
     * The entry is at or before the current offset, so it was already applied.
     *
     * @param offset the log offset of the entry
     */
    record Ignored(long offset) implements ApplyResult {}

    /** Returns the rejected entry if this is a rejection. */
    default Optional<RejectedEntry> rejection() {
        return this instanceof Rejected rejected ? Optional.of(rejected.entry()) : Optional.empty();
    }
}
