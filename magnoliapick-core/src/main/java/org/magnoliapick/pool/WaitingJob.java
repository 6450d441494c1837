package org.magnoliapick.pool;

import java.util.Comparator;
import java.util.function.LongSupplier;

/** A waiting request, with the values that determine its place in the order. */
final class WaitingJob {
    /** Order among the requests of workspaces that were served about the same. */
    static final Comparator<WaitingJob> ORDER =
            Comparator.comparingInt((WaitingJob each) -> each.mJob.rank())
                    .thenComparing(each -> !each.mJob.callerRetry())
                    .thenComparingDouble(each -> each.mPrefillRatio)
                    .thenComparingLong(each -> each.mJob.submittedMillis())
                    .thenComparingLong(each -> each.mSequence);

    /** Time for which an evaluation of all upstreams is used, in milliseconds. */
    private static final long ESTIMATE_VALID_MILLIS = 20;

    private final PoolJob mJob;

    /** Tokens to prefill in relation to the request's cost; lower with more of it cached. */
    private final double mPrefillRatio;

    private final long mSequence;
    private long mFewestNewTokens;
    private long mFewestNewAtMillis;
    private long mFirstEventMillis;
    private long mFirstEventAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an entry.
     *
     * @param newTokens how many tokens of its prompt an engine would have to prefill
     * @param sequence the number of the entry in the order of arrival
     */
    WaitingJob(PoolJob job, long newTokens, long sequence, long nowMillis) {
        mJob = job;
        mPrefillRatio = newTokens / (1.0 + job.prompt().costTokens());
        mSequence = sequence;
        setFewestNewTokens(newTokens, nowMillis);
    }

    PoolJob job() {
        return mJob;
    }

    /** Sets the fewest tokens that any upstream which accepts requests would have to prefill. */
    void setFewestNewTokens(long fewestNewTokens, long nowMillis) {
        mFewestNewTokens = fewestNewTokens;
        mFewestNewAtMillis = nowMillis;
    }

    /** Returns whether the fewest tokens to prefill were determined recently. */
    boolean hasRecentNewTokens(long nowMillis) {
        return nowMillis - mFewestNewAtMillis < ESTIMATE_VALID_MILLIS;
    }

    long fewestNewTokens() {
        return mFewestNewTokens;
    }

    /**
     * Returns the estimated time from now to the first event at the best upstream, in milliseconds.
     *
     * @param estimate computes a new estimate, if the last one is too old
     */
    long firstEventMillis(LongSupplier estimate, long nowMillis) {
        if (nowMillis - mFirstEventAtMillis >= ESTIMATE_VALID_MILLIS) {
            mFirstEventMillis = estimate.getAsLong();
            mFirstEventAtMillis = nowMillis;
        }
        return mFirstEventMillis;
    }
}
