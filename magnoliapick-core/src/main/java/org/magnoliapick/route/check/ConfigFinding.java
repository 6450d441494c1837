package org.magnoliapick.route.check;

/**
 * Something about a configuration that its author probably did not intend.
 *
 * @param kind what is wrong
 * @param subject the entry concerned, such as {@code route r-1}
 * @param message what follows from it, without the subject
 */
public record ConfigFinding(Kind kind, String subject, String message) {
    /** What is wrong with an entry. */
    public enum Kind {
        /** Instances would refuse the version, or could not serve a route of it. */
        ERROR("error"),
        /** An entry that never applies to any request. */
        UNREACHABLE("never matches"),
        /** Two limits, or a limit and an entry, that exclude each other. */
        CONTRADICTION("contradiction");

        private final String mLabel;

        Kind(String label) {
            mLabel = label;
        }

        /** Returns the name in reports. */
        public String label() {
            return mLabel;
        }
    }

    @Override
    public String toString() {
        return kind.label() + ": " + subject + ": " + message;
    }
}
