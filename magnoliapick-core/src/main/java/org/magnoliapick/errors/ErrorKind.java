package org.magnoliapick.errors;

import java.util.Locale;
import java.util.Optional;

/** The closed set of error kinds, each with its HTTP status, outcome and retry advice. */
public enum ErrorKind {
    /** The request is invalid: bad syntax, an unknown field or a value out of range. */
    BAD_REQUEST(400, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The access key is missing, unknown or revoked. */
    UNAUTHENTICATED(401, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The access key is valid, but does not permit the request. */
    FORBIDDEN(403, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The model, service or path does not exist. */
    NOT_FOUND(404, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** A change is based on a version that is no longer current. */
    CONFLICT(409, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** A precondition of a change does not hold. */
    PRECONDITION_FAILED(412, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The body or the headers are larger than allowed. */
    TOO_LARGE(413, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The idempotency key was used before for a request with different content. */
    KEY_REUSED(422, Outcome.NOT_RUN, Retry.NO, Wait.NONE),
    /** The queue of the workspace is full. */
    WORKSPACE_QUEUE_FULL(429, Outcome.NOT_RUN, Retry.YES, Wait.QUEUE),
    /** The queue of the instance is full. */
    INSTANCE_QUEUE_FULL(503, Outcome.NOT_RUN, Retry.YES, Wait.QUEUE),
    /** The deadline cannot be met or passed before the request was sent. */
    DEADLINE_BEFORE_START(504, Outcome.NOT_RUN, Retry.YES, Wait.QUEUE),
    /** No upstream serves the target at present. */
    NO_UPSTREAM(503, Outcome.NOT_RUN, Retry.YES, Wait.SHORT),
    /** Requests like this one made upstreams crash and are not sent for some time. */
    QUARANTINED(503, Outcome.NOT_RUN, Retry.YES, Wait.LONG),
    /** The instance is stopping or has no configuration yet. */
    NOT_READY(503, Outcome.NOT_RUN, Retry.YES, Wait.SHORT),
    /** Every attempt ended with proof that the upstream did not start the request. */
    UPSTREAM_REFUSED(503, Outcome.NOT_RUN, Retry.YES, Wait.SHORT),
    /** The log is unavailable, so the claim of the request cannot be decided. */
    LOG_UNAVAILABLE(503, Outcome.NOT_RUN, Retry.YES, Wait.LONG),
    /**
     * It is unknown whether a configuration change was accepted; its token allows a later look-up.
     */
    CHANGE_UNKNOWN(503, Outcome.OUTCOME_UNKNOWN, Retry.YES, Wait.SHORT),
    /** A request with the same idempotency key is in progress. */
    CLAIM_IN_PROGRESS(409, Outcome.OUTCOME_UNKNOWN, Retry.YES, Wait.SHORT),
    /** The request with this idempotency key ran, and its answer is no longer kept. */
    ALREADY_RUN(409, Outcome.FAILED, Retry.NO, Wait.NONE),
    /** The request with this idempotency key may have run; its outcome is unknown. */
    CLAIM_OUTCOME_UNKNOWN(409, Outcome.OUTCOME_UNKNOWN, Retry.NO, Wait.NONE),
    /** The deadline passed after the request was sent. */
    DEADLINE_AFTER_START(504, Outcome.OUTCOME_UNKNOWN, Retry.NO, Wait.NONE),
    /** The connection to the upstream was lost after the request was sent. */
    UPSTREAM_LOST(502, Outcome.OUTCOME_UNKNOWN, Retry.NO, Wait.NONE),
    /** The answer of the upstream was truncated, malformed or that of another attempt. */
    ANSWER_BROKEN(502, Outcome.FAILED, Retry.NO, Wait.NONE),
    /** The upstream started the request and reported an error. */
    UPSTREAM_FAILED(502, Outcome.FAILED, Retry.NO, Wait.NONE),
    /** The caller disconnected. */
    CALLER_GONE(499, Outcome.FAILED, Retry.NO, Wait.NONE),
    /** An internal error before the request was sent. */
    INTERNAL(500, Outcome.NOT_RUN, Retry.YES, Wait.SHORT),
    /** An internal error after the request was sent. */
    INTERNAL_AFTER_START(500, Outcome.OUTCOME_UNKNOWN, Retry.NO, Wait.NONE);

    /** Whether a caller may send the request again as it is. */
    public enum Retry {
        /** The caller may send the request again. */
        YES,
        /** Sending the request again cannot succeed or might run it twice. */
        NO
    }

    /** The minimum delay before a retry, in milliseconds. */
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

    /** Returns what the caller may conclude about the execution of the request. */
    public Outcome outcome() {
        return mOutcome;
    }

    /** Returns whether the caller may send the request again. */
    public Retry retry() {
        return mRetry;
    }

    /**
     * Returns the minimum delay before a retry, in milliseconds; empty if the caller must not
     * retry.
     */
    public Optional<Long> retryAfterMillis() {
        return mRetry == Retry.YES ? Optional.of(mWait.mMillis) : Optional.empty();
    }

    /** Returns the name used in answers and records. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
