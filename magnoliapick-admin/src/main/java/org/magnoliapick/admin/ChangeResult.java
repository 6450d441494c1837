package org.magnoliapick.admin;

import org.magnoliapick.config.EntryFault;

/** How a change of the configuration ended. */
public sealed interface ChangeResult {
    /**
     * The change is in force on this instance and comes into force on every other one.
     *
     * @param offset the log offset of the change
     */
    record Accepted(long offset) implements ChangeResult {}

    /**
     * The change is not allowed and changes nothing.
     *
     * @param path the path at fault; empty where the change as a whole is
     * @param reason a sentence that names the path and what is allowed
     */
    record Rejected(String path, String reason) implements ChangeResult {}

    /**
     * The change was made against a version that is no longer current, and changes nothing.
     *
     * @param path the path at fault
     * @param currentVersion its current version; -1 if it is absent
     * @param reason a sentence that names both versions
     */
    record Conflict(String path, long currentVersion, String reason) implements ChangeResult {}

    /**
     * The log could not be reached: the change is not accepted and never will be.
     *
     * @param reason what the log said
     */
    record LogUnavailable(String reason) implements ChangeResult {}

    /**
     * Whether the change is accepted is unknown; it can be asked for by its token.
     *
     * @param token the token to ask with
     */
    record Unknown(String token) implements ChangeResult {}

    /** Returns the result for an entry at fault. */
    static ChangeResult of(EntryFault fault) {
        return fault.kind() == EntryFault.Kind.CONFLICT
                ? new Conflict(fault.path(), fault.currentVersion(), fault.reason())
                : new Rejected(fault.path(), fault.reason());
    }
}
