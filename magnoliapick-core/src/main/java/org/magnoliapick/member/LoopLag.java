package org.magnoliapick.member;

/**
 * How late an event loop runs a periodic task, which is about as long as messages wait until they
 * are processed.
 */
public final class LoopLag {
    /** Weight of one run in the moving average. */
    private static final double RUN_WEIGHT = 0.1;

    private final long mPeriodMillis;
    private long mLastRunMillis = -1;
    private double mMeanMillis;
    private long mMaxMillis;

    /**
     * Creates a measurement.
     *
     * @param periodMillis the time from the end of a run to the next one, if the loop is idle
     */
    public LoopLag(long periodMillis) {
        mPeriodMillis = periodMillis;
    }

    /** Records a run of the task; returns how late it is, in milliseconds. */
    public long recordRun(long nowMillis) {
        long lagMillis =
                mLastRunMillis < 0 ? 0 : Math.max(0, nowMillis - mLastRunMillis - mPeriodMillis);
        mLastRunMillis = nowMillis;
        mMeanMillis += RUN_WEIGHT * (lagMillis - mMeanMillis);
        mMaxMillis = Math.max(mMaxMillis, lagMillis);
        return lagMillis;
    }

    /** Returns the moving average of the lag, in milliseconds. */
    public double meanMillis() {
        return mMeanMillis;
    }

    /** Returns the maximum of the lag since the last call, in milliseconds. */
    public long takeMaxMillis() {
        long maxMillis = mMaxMillis;
        mMaxMillis = 0;
        return maxMillis;
    }
}
