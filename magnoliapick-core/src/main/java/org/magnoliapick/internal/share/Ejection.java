package org.magnoliapick.internal.share;

import org.magnoliapick.share.AttemptOutcome;

/**
 * Ejects an upstream that keeps failing and returns it by slow start. The ejection time doubles, up
 * to a maximum, when the upstream is ejected again before it has recovered.
 */
final class Ejection {
    /** Number of failures without a success in between that leads to ejection. */
    private static final int FAILURES_TO_EJECT = 5;

    private static final long BASE_EJECTION_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 2;
    private static final long SLOW_START_MILLIS = 2_000;

    private int mFailures;
    private int mEjections;
    private long mEjectedUntilMillis;

    /**
     * Records how an attempt ended. After an ejection, one more failure ejects again until an
     * attempt succeeds. A success after the slow start resets the ejection time.
     *
     * @return whether this attempt caused the upstream to be ejected
     */
    boolean recordEnd(AttemptOutcome end, long nowMillis) {
        if (end == AttemptOutcome.WHOLE) {
            mFailures = 0;
            if (nowMillis - mEjectedUntilMillis > SLOW_START_MILLIS) {
                mEjections = 0;
            }
            return false;
        }
        if (!end.countsAgainstUpstream() || isEjected(nowMillis)) {
            return false;
        }
        mFailures++;
        if (mFailures < FAILURES_TO_EJECT) {
            return false;
        }
        mFailures = FAILURES_TO_EJECT - 1;
        mEjectedUntilMillis =
                nowMillis + (BASE_EJECTION_MILLIS << Math.min(mEjections, MAX_DOUBLINGS));
        mEjections++;
        return true;
    }

    /** Returns whether the upstream is ejected and gets no requests. */
    boolean isEjected(long nowMillis) {
        return nowMillis < mEjectedUntilMillis;
    }

    /** Returns the fraction of the slots that may be used, rising from 0 to 1 in the slow start. */
    double slotFactor(long nowMillis) {
        if (mEjections == 0) {
            return 1;
        }
        double elapsedMillis = nowMillis - mEjectedUntilMillis;
        return Math.max(0, Math.min(1, elapsedMillis / SLOW_START_MILLIS));
    }
}
