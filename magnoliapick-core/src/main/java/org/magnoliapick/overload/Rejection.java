package org.magnoliapick.overload;

/**
 * The rejection of a request by an overloaded instance.
 *
 * @param cause why it is rejected
 * @param retryAfterMillis when its caller should retry, in milliseconds from now
 */
public record Rejection(Cause cause, long retryAfterMillis) {
    /** Why a request is rejected. */
    public enum Cause {
        /** The event loop has been behind for long, and this turn has admitted its share. */
        STANDING_DELAY("standing-delay"),
        /** No upstream would answer the request in time. */
        TOO_LATE("too-late");

        private final String mLogName;

        Cause(String logName) {
            mLogName = logName;
        }

        /** Returns the name used in log lines and metrics. */
        public String logName() {
            return mLogName;
        }
    }
}
