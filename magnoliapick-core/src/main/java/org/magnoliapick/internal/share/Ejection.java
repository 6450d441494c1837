package org.magnoliapick.internal.share;

import org.magnoliapick.share.AttemptOutcome;

/** Takes an upstream that keeps failing out of the choice, and lets it return slowly. */
final class Ejection {
    private static final int FAILURES_TO_EJECT = 5;
    private static final long BASE_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 2;
    private static final long SLOW_START_MILLIS = 2_000;

    private int mFailures;
    private int mEjections;
    private long mReturnMillis;

    /** Takes the end of an attempt; returns whether the upstream was ejected by it. */
    boolean recordEnd(AttemptOutcome end, long nowMillis) {
        if (end == AttemptOutcome.WHOLE) {
            mFailures = 0;
            if (nowMillis - mReturnMillis > SLOW_START_MILLIS) {
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
        mReturnMillis = nowMillis + (BASE_MILLIS << Math.min(mEjections, MAX_DOUBLINGS));
        mEjections++;
        return true;
    }

    /** Returns whether the upstream is out of the choice. */
    boolean isEjected(long nowMillis) {
        return nowMillis < mReturnMillis;
    }

    /** Returns the part of the slots that may be used, from 0 to 1. */
    double slotFactor(long nowMillis) {
        if (mEjections == 0) {
            return 1;
        }
        double sinceReturn = nowMillis - mReturnMillis;
        return Math.max(0, Math.min(1, sinceReturn / SLOW_START_MILLIS));
    }
}
