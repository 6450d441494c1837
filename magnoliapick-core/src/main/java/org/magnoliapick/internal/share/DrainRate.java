package org.magnoliapick.internal.share;

/** How fast a queue empties, as a decaying average. */
final class DrainRate {
    private static final double MEMORY_MILLIS = 10_000;
    private static final double MIN_STARTS = 3;

    private double mStarts;
    private long mUpdatedMillis;

    /** Counts a request that left the queue for an upstream. */
    void recordStart(long nowMillis) {
        decay(nowMillis);
        mStarts++;
    }

    /** Returns the expected time until so many requests have left, or the default if unknown. */
    long waitMillis(int requests, long defaultMillis, long nowMillis) {
        decay(nowMillis);
        if (mStarts < MIN_STARTS) {
            return defaultMillis;
        }
        return (long) (requests * MEMORY_MILLIS / mStarts);
    }

    /** Returns whether enough was seen lately to expect anything. */
    boolean hasEnoughStarts(long nowMillis) {
        decay(nowMillis);
        return mStarts >= MIN_STARTS;
    }

    private void decay(long nowMillis) {
        long elapsed = Math.max(0, nowMillis - mUpdatedMillis);
        mStarts *= Math.exp(-elapsed / MEMORY_MILLIS);
        mUpdatedMillis = Math.max(mUpdatedMillis, nowMillis);
    }
}
