package org.magnoliapick.router.internal.supervisor;

/** The pause before a failed part is started again; it doubles with each failure in a row. */
final class RestartDelay {
    /** The first pause, in milliseconds. */
    static final long FIRST_MILLIS = 50;

    /** The longest pause, in milliseconds. */
    static final long MAX_MILLIS = 5_000;

    private long mNextMillis = FIRST_MILLIS;

    /** Returns the pause after a failure, in milliseconds. */
    long afterFailure() {
        long pauseMillis = mNextMillis;
        mNextMillis = Math.min(MAX_MILLIS, mNextMillis * 2);
        return pauseMillis;
    }

    /** Takes note of a success. */
    void succeeded() {
        mNextMillis = FIRST_MILLIS;
    }
}
