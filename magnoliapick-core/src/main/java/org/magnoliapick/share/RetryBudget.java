package org.magnoliapick.share;

/**
 * Allows retries as a share of recent successes, so that retries cannot multiply the load of a
 * failing fleet.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_SUCCESS = 0.1;
    private static final double MEMORY_MILLIS = 10_000;

    /** Retries that are allowed without any success, so that a quiet instance can retry. */
    private static final double FLOOR_RETRIES = 3;

    private double mSuccesses;
    private double mRetries;
    private long mUpdatedMillis;

    /** Counts a request that got its whole answer. */
    public void recordSuccess(long nowMillis) {
        decay(nowMillis);
        mSuccesses++;
    }

    /** Takes one retry out of the budget; returns whether it is allowed. */
    public boolean tryRetry(long nowMillis) {
        decay(nowMillis);
        if (mRetries + 1 > FLOOR_RETRIES + RETRIES_PER_SUCCESS * mSuccesses) {
            return false;
        }
        mRetries++;
        return true;
    }

    private void decay(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - mUpdatedMillis);
        double kept = Math.exp(-elapsedMillis / MEMORY_MILLIS);
        mSuccesses *= kept;
        mRetries *= kept;
        mUpdatedMillis = Math.max(mUpdatedMillis, nowMillis);
    }
}
