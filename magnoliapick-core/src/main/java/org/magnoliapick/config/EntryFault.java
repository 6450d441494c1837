package org.magnoliapick.config;

/**
 * What is wrong with an entry.
 *
 * @param kind the sort of fault
 * @param path the path at fault; empty where the entry as a whole is
 * @param reason a sentence that names the path and what is allowed
 * @param currentVersion the version of the path for a conflict; -1 otherwise
 */
public record EntryFault(Kind kind, String path, String reason, long currentVersion) {
    /** Makes the texts fit for writing as UTF-8. */
    public EntryFault {
        path = ConfigJson.wellFormed(path);
        reason = ConfigJson.wellFormed(reason);
    }

    /** The sort of fault. */
    public enum Kind {
        /** The entry or one of its values is not allowed. */
        INVALID,
        /** The entry was made against a version that is no longer current. */
        CONFLICT,
        /** An entry with the same identifier was folded before. */
        REPEATED
    }

    static EntryFault invalid(String path, String reason) {
        return new EntryFault(Kind.INVALID, path, reason, -1);
    }

    static EntryFault conflict(String path, long expected, long current) {
        String reason = path + " is at version " + current + ", not " + expected;
        return new EntryFault(Kind.CONFLICT, path, reason, current);
    }

    static EntryFault repeated(long offset) {
        return new EntryFault(Kind.REPEATED, "", "Repeats entry " + offset, -1);
    }
}
