package org.magnoliapick.share;

/**
 * Limits retries to a fraction of recent successful requests, so that retries cannot multiply the
 * load of a failing fleet. Both counts decay exponentially.
 */
public final class RetryBudget {
    private static final double RETRIES_PER_SUCCESS = 0.1;

    /** Time constant of the exponential decay of both counts. */
    private static final double DECAY_MILLIS = 10_000;

    /** Retries allowed without any success, so that an instance with little traffic can retry. */
    private static final double MIN_RETRIES = 3;

    private double mSuccesses;
    private double mRetries;
    private long mUpdatedMillis;

    /** Records a request that received its complete response. */
    public void recordSuccess(long nowMillis) {
        decay(nowMillis);
        mSuccesses++;
    }

    /** Takes one retry from the budget. Returns false if the budget is exhausted. */
    public boolean tryRetry(long nowMillis) {
        decay(nowMillis);
        if (mRetries + 1 > MIN_RETRIES + RETRIES_PER_SUCCESS * mSuccesses) {
            return false;
        }
        mRetries++;
        return true;
    }

    private void decay(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - mUpdatedMillis);
        double kept = Math.exp(-elapsedMillis / DECAY_MILLIS);
        mSuccesses *= kept;
        mRetries *= kept;
        mUpdatedMillis = Math.max(mUpdatedMillis, nowMillis);
    }
}
