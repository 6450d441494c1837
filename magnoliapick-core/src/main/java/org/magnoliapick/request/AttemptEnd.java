package org.magnoliapick.request;

import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.share.AttemptOutcome;

/** How an attempt ended without a whole answer. */
public enum AttemptEnd {
    /** No byte of the request left this process. */
    NOT_SENT(true, false, ErrorKind.UPSTREAM_REFUSED, AttemptOutcome.FAILED),
    /** The upstream proved that it did not start the request. */
    REFUSED(true, false, ErrorKind.UPSTREAM_REFUSED, AttemptOutcome.REFUSED),
    /** The connection was lost after bytes had left, before the head of the answer. */
    LOST_BEFORE_HEAD(false, false, ErrorKind.UPSTREAM_LOST, AttemptOutcome.FAILED),
    /** The answer ended before its end mark. */
    CUT(false, true, ErrorKind.ANSWER_BROKEN, AttemptOutcome.FAILED),
    /** The answer carried the identifier of another attempt. */
    CROSSED(false, false, ErrorKind.ANSWER_BROKEN, AttemptOutcome.FAILED),
    /** The answer could not be read. */
    MALFORMED(false, false, ErrorKind.ANSWER_BROKEN, AttemptOutcome.FAILED),
    /** The upstream started the request and reported a failure of its own. */
    FAILED(false, false, ErrorKind.UPSTREAM_FAILED, AttemptOutcome.FAILED),
    /** The upstream was silent for too long. */
    TIMEOUT(false, true, ErrorKind.UPSTREAM_LOST, AttemptOutcome.FAILED),
    /** This process cancelled the attempt. */
    CANCELLED(false, false, ErrorKind.INTERNAL_AFTER_START, AttemptOutcome.CANCELLED);

    private final boolean mProvesNotRun;
    private final boolean mResumable;
    private final ErrorKind mErrorKind;
    private final AttemptOutcome mEndOfAttempt;

    AttemptEnd(
            boolean provesNotRun, boolean resumable, ErrorKind kind, AttemptOutcome endOfAttempt) {
        mProvesNotRun = provesNotRun;
        mResumable = resumable;
        mErrorKind = kind;
        mEndOfAttempt = endOfAttempt;
    }

    /** Returns whether the request certainly did not start at the upstream. */
    public boolean provesNotRun() {
        return mProvesNotRun;
    }

    /** Returns whether the same attempt can be resumed at the offset reached. */
    public boolean resumable() {
        return mResumable;
    }

    /** Returns whether the upstream was out of reach or did not take the request. */
    public boolean isUpstreamUnavailable() {
        return this == NOT_SENT || this == REFUSED || this == LOST_BEFORE_HEAD || this == TIMEOUT;
    }

    /** Returns the error that the caller gets if the request is not tried again. */
    public ErrorKind errorKind() {
        return mErrorKind;
    }

    /** Returns the end as the slot's accounting sees it. */
    public AttemptOutcome outcome() {
        return mEndOfAttempt;
    }
}
