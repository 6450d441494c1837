package org.magnoliapick.ports;

/** Why an attempt at an upstream ended without a whole answer. */
public enum AttemptFailure {
    /** No byte of the request left: the connection could not be made. */
    NOT_SENT(true),
    /** The upstream said that it did not start the request. */
    REFUSED(true),
    /** The connection was lost after bytes had left, before the answer's head. */
    LOST_BEFORE_HEAD(false),
    /** The answer ended before its end mark. */
    CUT(false),
    /** The answer carries another attempt's identifier. */
    CROSSED(false),
    /** The answer cannot be read. */
    MALFORMED(false),
    /** The upstream reported a failure of its own after it had started. */
    FAILED(false),
    /** The time given was used up. */
    TIMEOUT(false),
    /** This process cancelled the attempt. */
    CANCELLED(false);

    private final boolean mProvesNotRun;

    AttemptFailure(boolean provesNotRun) {
        mProvesNotRun = provesNotRun;
    }

    /** Returns whether the request certainly did not start at the upstream. */
    public boolean provesNotRun() {
        return mProvesNotRun;
    }
}
