package org.magnoliapick.errors;

import java.util.Locale;
import java.util.Optional;

/** The closed list of error kinds, with the answer that each one gets. */
public enum ErrorKind {
    /** The request cannot be read: bad syntax, unknown field, bad range. */
    BAD_REQUEST(400, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The key is missing, unknown or revoked. */
    UNAUTHENTICATED(401, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The key is known, and what it asks for is not allowed to it. */
    FORBIDDEN(403, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** No such model, service or path. */
    NOT_FOUND(404, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** A change was made against a version that is no longer current. */
    CONFLICT(409, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** A change or precondition does not hold. */
    PRECONDITION_FAILED(412, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The body or the headers are larger than allowed. */
    TOO_LARGE(413, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The key of the request was used before with another content. */
    KEY_REUSED(422, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The queue of the workspace is full. */
    WORKSPACE_QUEUE_FULL(429, Outcome.NOT_RUN, Retry.YES, Wait.QUEUE),
    /** The queue of the instance is full. */
    INSTANCE_QUEUE_FULL(503, Outcome.NOT_RUN, Retry.YES, Wait.QUEUE),
    /** The deadline cannot be met, or passed before the request was sent. */
    DEADLINE_BEFORE_START(504, Outcome.NOT_RUN, Retry.YES, Wait.QUEUE),
    /** No upstream serves the target now. */
    NO_UPSTREAM(503, Outcome.NOT_RUN, Retry.YES, Wait.SHORT),
    /** The instance is stopping or has no configuration yet. */
    NOT_READY(503, Outcome.NOT_RUN, Retry.YES, Wait.SHORT),
    /** Every attempt ended with the upstream's own proof that it did not start. */
    UPSTREAM_REFUSED(503, Outcome.NOT_RUN, Retry.YES, Wait.SHORT),
    /** The log is out, so the request's claim cannot be decided. */
    LOG_UNAVAILABLE(503, Outcome.NOT_RUN, Retry.YES, Wait.LONG),
    /** Whether a change of the configuration was accepted is unknown; its token tells later. */
    CHANGE_UNKNOWN(503, Outcome.OUTCOME_UNKNOWN, Retry.YES, Wait.SHORT),
    /** Another attempt with the same key is running. */
    CLAIM_IN_PROGRESS(409, Outcome.OUTCOME_UNKNOWN, Retry.YES, Wait.SHORT),
    /** The request with this key ran, and its answer is no longer kept. */
    ALREADY_RUN(409, Outcome.FAILED, Retry.NO, Wait.NONE),
    /** The request with this key may have run; its outcome was never recorded. */
    CLAIM_OUTCOME_UNKNOWN(409, Outcome.OUTCOME_UNKNOWN, Retry.NO, Wait.NONE),
    /** The deadline passed after the request was sent. */
    DEADLINE_AFTER_START(504, Outcome.OUTCOME_UNKNOWN, Retry.NO, Wait.NONE),
    /** The connection to the upstream was lost after the request was sent. */
    UPSTREAM_LOST(502, Outcome.OUTCOME_UNKNOWN, Retry.NO, Wait.NONE),
    /** The upstream's answer was cut, crossed or malformed. */
    ANSWER_BROKEN(502, Outcome.FAILED, Retry.NO, Wait.NONE),
    /** The upstream ran the request and reported a failure of its own. */
    UPSTREAM_FAILED(502, Outcome.FAILED, Retry.NO, Wait.NONE),
    /** The caller went away. */
    CALLER_GONE(499, Outcome.FAILED, Retry.NO, Wait.NONE),
    /** A fault of this system before the request was sent. */
    INTERNAL(500, Outcome.NOT_RUN, Retry.YES, Wait.SHORT),
    /** A fault of this system after the request was sent. */
    INTERNAL_AFTER_START(500, Outcome.OUTCOME_UNKNOWN, Retry.NO, Wait.NONE);

    /** Whether a caller may send the request again as it is. */
    public enum Retry {
        /** The caller may send the request again. */
        YES,
        /** Sending the request again cannot help, or might run it twice. */
        NO
    }

    private enum Wait {
        NONE(0),
        SHORT(1_000),
        QUEUE(2_000),
        LONG(5_000);

        private final long mMillis;

        Wait(long millis) {
            mMillis = millis;
        }
    }

    private final int mHttpStatus;
    private final Outcome mOutcome;
    private final Retry mRetry;
    private final Wait mWait;

    ErrorKind(int httpStatus, Outcome outcome, Retry retry, Wait wait) {
        mHttpStatus = httpStatus;
        mOutcome = outcome;
        mRetry = retry;
        mWait = wait;
    }

    /** Returns the HTTP status of the answer. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns what the caller may conclude. */
    public Outcome outcome() {
        return mOutcome;
    }

    /** Returns whether the caller may send the request again. */
    public Retry retry() {
        return mRetry;
    }

    /** Returns the least wait in milliseconds before a retry, where a retry makes sense. */
    public Optional<Long> retryAfterMillis() {
        return mRetry == Retry.YES ? Optional.of(mWait.mMillis) : Optional.empty();
    }

    /** Returns the name used in answers and records. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
