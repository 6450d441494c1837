package org.magnoliapick.config;

import java.util.List;
import java.util.Optional;

/** What folding one log entry did. */
public sealed interface ApplyResult {
    /**
     * The entry is in force.
     *
     * @param offset its offset
     * @param paths the paths that it changed, sorted
     */
    record Accepted(long offset, List<String> paths) implements ApplyResult {
        /** Copies the paths. */
        public Accepted {
            paths = List.copyOf(paths);
        }
    }

    /**
     * The entry changes nothing, here and on every other reader.
     *
     * @param entry the entry as it is kept, with the reason
     */
    record Rejected(RejectedEntry entry) implements ApplyResult {}

    /**
     * The entry was folded before.
     *
     * @param offset its offset
     */
    record Ignored(long offset) implements ApplyResult {}

    /** Returns the rejected entry, if this is a rejection. */
    default Optional<RejectedEntry> rejection() {
        return this instanceof Rejected rejected ? Optional.of(rejected.entry()) : Optional.empty();
    }
}
