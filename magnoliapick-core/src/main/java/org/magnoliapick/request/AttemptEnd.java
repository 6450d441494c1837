package org.magnoliapick.request;

import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.share.AttemptOutcome;

/** How an attempt ended without a complete answer. */
public enum AttemptEnd {
    /** No byte of the request was written to the upstream. */
    NOT_SENT(true, false, ErrorKind.UPSTREAM_REFUSED, AttemptOutcome.FAILED),
    /** The upstream proved that it did not start the request. */
    REFUSED(true, false, ErrorKind.UPSTREAM_REFUSED, AttemptOutcome.REFUSED),
    /** The connection was lost after bytes were sent and before the head of the answer arrived. */
    LOST_BEFORE_HEAD(false, false, ErrorKind.UPSTREAM_LOST, AttemptOutcome.FAILED),
    /** The connection ended before the end mark of the answer. */
    CUT(false, true, ErrorKind.ANSWER_BROKEN, AttemptOutcome.FAILED),
    /** The answer carried the identifier of another attempt. */
    CROSSED(false, false, ErrorKind.ANSWER_BROKEN, AttemptOutcome.FAILED),
    /** The answer could not be parsed. */
    MALFORMED(false, false, ErrorKind.ANSWER_BROKEN, AttemptOutcome.FAILED),
    /** The upstream sent more than any answer has, such as a head without end. */
    EXCESSIVE(false, false, ErrorKind.ANSWER_BROKEN, AttemptOutcome.FAILED),
    /** The upstream started the request and reported an error. */
    FAILED(false, false, ErrorKind.UPSTREAM_FAILED, AttemptOutcome.FAILED),
    /** The upstream sent nothing within the timeout. */
    TIMEOUT(false, true, ErrorKind.UPSTREAM_LOST, AttemptOutcome.FAILED),
    /** This process cancelled the attempt. */
    CANCELLED(false, false, ErrorKind.INTERNAL_AFTER_START, AttemptOutcome.CANCELLED);

    private final boolean mProvesNotRun;
    private final boolean mResumable;
    private final ErrorKind mErrorKind;
    private final AttemptOutcome mOutcome;

    AttemptEnd(boolean provesNotRun, boolean resumable, ErrorKind kind, AttemptOutcome outcome) {
        mProvesNotRun = provesNotRun;
        mResumable = resumable;
        mErrorKind = kind;
        mOutcome = outcome;
    }

    /** Returns whether this end proves that the upstream did not start the request. */
    public boolean provesNotRun() {
        return mProvesNotRun;
    }

    /** Returns whether the same attempt can be resumed at the offset that was reached. */
    public boolean resumable() {
        return mResumable;
    }

    /**
     * Returns whether the upstream was unreachable, did not accept the request, or costs more than
     * others may pay for.
     */
    public boolean isUpstreamUnavailable() {
        return this == NOT_SENT
                || this == REFUSED
                || this == LOST_BEFORE_HEAD
                || this == EXCESSIVE
                || this == TIMEOUT;
    }

    /** Returns whether the connection was lost after the request was sent. */
    public boolean isConnectionLost() {
        return this == LOST_BEFORE_HEAD || this == CUT;
    }

    /** Returns the error that the caller receives if the request is not retried. */
    public ErrorKind errorKind() {
        return mErrorKind;
    }

    /** Returns the outcome under which the slot is released and accounted for. */
    public AttemptOutcome outcome() {
        return mOutcome;
    }
}
