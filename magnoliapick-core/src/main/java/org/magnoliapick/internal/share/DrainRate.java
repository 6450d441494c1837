package org.magnoliapick.internal.share;

/** The rate at which requests leave a queue, from an exponentially decaying count of starts. */
final class DrainRate {
    /** Time in which the count of starts decays to 1/e. */
    private static final double DECAY_MILLIS = 10_000;

    /** Lowest decayed count of starts that is enough for an estimate. */
    private static final double MIN_STARTS = 3;

    private double mStarts;
    private long mUpdatedMillis;

    /** Counts a request that left the queue and was started at an upstream. */
    void recordStart(long nowMillis) {
        decay(nowMillis);
        mStarts++;
    }

    /**
     * Returns the expected time in milliseconds until this number of requests has left the queue,
     * or the default while there were too few recent starts for an estimate.
     */
    long waitMillis(int requests, long defaultMillis, long nowMillis) {
        decay(nowMillis);
        if (mStarts < MIN_STARTS) {
            return defaultMillis;
        }
        return (long) (requests * DECAY_MILLIS / mStarts);
    }

    /** Returns whether there were enough recent starts for an estimate. */
    boolean hasEnoughStarts(long nowMillis) {
        decay(nowMillis);
        return mStarts >= MIN_STARTS;
    }

    private void decay(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - mUpdatedMillis);
        mStarts *= Math.exp(-elapsedMillis / DECAY_MILLIS);
        mUpdatedMillis = Math.max(mUpdatedMillis, nowMillis);
    }
}
