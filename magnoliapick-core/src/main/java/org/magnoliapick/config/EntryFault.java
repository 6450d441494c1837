package org.magnoliapick.config;

/**
 * The reason why an entry is rejected.
 *
 * @param kind the kind of fault
 * @param path the path with the fault; empty if the fault concerns the entry as a whole
 * @param reason a message for the operator, which names the path and the allowed values if the
 *     fault concerns a value
 * @param currentVersion the current version of the path for a conflict; -1 otherwise
 */
public record EntryFault(Kind kind, String path, String reason, long currentVersion) {
    /** Replaces unpaired surrogates, which UTF-8 cannot encode. */
    public EntryFault {
        path = ConfigJson.wellFormed(path);
        reason = ConfigJson.wellFormed(reason);
    }

    /** The kind of fault. */
    public enum Kind {
        /** The entry or one of its values is not allowed. */
        INVALID,
        /** The version that the entry expects is not the current one. */
        CONFLICT,
        /** An entry with the same identifier was applied before. */
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
