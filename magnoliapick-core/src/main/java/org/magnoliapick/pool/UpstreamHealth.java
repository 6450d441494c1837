package org.magnoliapick.pool;

import java.util.Optional;
import org.magnoliapick.request.AttemptEnd;

/**
 * Stops requests to an upstream that cannot be reached, with exponential backoff until an attempt
 * succeeds, and measures how many of its attempts fail.
 */
final class UpstreamHealth {
    /**
     * Backoff after the first attempt that found the upstream unreachable, in milliseconds; it
     * doubles with each further such attempt in a row.
     */
    private static final long INITIAL_BACKOFF_MILLIS = 250;

    /** Maximum backoff, in milliseconds. */
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    /**
     * Time after a probe request until the next one is sent, unless the first succeeds, in
     * milliseconds.
     */
    private static final long PROBE_PERIOD_MILLIS = 500;

    /** Weight of one attempt in the moving average of failures. */
    private static final double ATTEMPT_WEIGHT = 0.1;

    private int mConsecutiveUnreachable;
    private long mBackoffEndMillis;
    private double mFailureRatio;

    /** Records the end of an attempt, which is absent for a complete answer. */
    void recordEnd(Optional<AttemptEnd> end, long nowMillis) {
        if (end.isEmpty()) {
            recordSuccess();
            return;
        }
        AttemptEnd failure = end.orElseThrow();
        if (failure.isUpstreamUnavailable()) {
            recordUnreachable(nowMillis);
        } else if (failure != AttemptEnd.CANCELLED) {
            recordFailure();
        }
    }

    /**
     * Records that an attempt found the upstream unreachable: the request was not sent, the
     * upstream refused it without starting it, the connection was lost before the head of the
     * answer, or the upstream was silent for too long.
     */
    void recordUnreachable(long nowMillis) {
        mConsecutiveUnreachable++;
        long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(8, mConsecutiveUnreachable - 1);
        mBackoffEndMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, backoffMillis);
        recordFailure();
    }

    /**
     * Adds a failure to the failure ratio. Failures that the upstream itself reports and broken
     * answers only have this effect and cause no backoff.
     */
    void recordFailure() {
        mFailureRatio += ATTEMPT_WEIGHT * (1 - mFailureRatio);
    }

    /** Records a complete answer. */
    void recordSuccess() {
        mConsecutiveUnreachable = 0;
        mBackoffEndMillis = 0;
        mFailureRatio -= ATTEMPT_WEIGHT * mFailureRatio;
    }

    /**
     * Records that a request is sent to the upstream: after it was unreachable, requests are sent
     * one at a time as probes until one succeeds.
     */
    void recordStart(long nowMillis) {
        if (mConsecutiveUnreachable > 0) {
            mBackoffEndMillis = nowMillis + PROBE_PERIOD_MILLIS;
        }
    }

    /** Returns whether the upstream may get requests now. */
    boolean isAvailable(long nowMillis) {
        return nowMillis >= mBackoffEndMillis;
    }

    /** Returns the fraction of recent attempts that failed, from 0 to 1. */
    double failureRatio() {
        return mFailureRatio;
    }
}
