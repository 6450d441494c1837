package org.magnoliapick.pool;

import java.util.Comparator;
import java.util.function.LongSupplier;

/** A request that waits, with what its place in the order depends on. */
final class WaitingJob {
    /** The order among requests of workspaces that were served about the same. */
    static final Comparator<WaitingJob> ORDER =
            Comparator.comparingInt((WaitingJob each) -> each.mJob.rank())
                    .thenComparing(each -> !each.mJob.callerRetry())
                    .thenComparingDouble(each -> each.mEffort)
                    .thenComparingLong(each -> each.mJob.submittedMillis())
                    .thenComparingLong(each -> each.mNumber);

    /** How long a weighing of all upstreams holds, in milliseconds. */
    private static final long WEIGHED_MILLIS = 20;

    private final PoolJob mJob;
    private final double mEffort;
    private final long mNumber;
    private long mFewestNewTokens;
    private long mWeighedMillis;
    private long mFirstEventMillis;
    private long mFirstEventAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an entry.
     *
     * @param newTokens how many tokens of its prompt an engine would have to read
     * @param number the number of the entry, in the order in which they came
     */
    WaitingJob(PoolJob job, long newTokens, long number, long nowMillis) {
        mJob = job;
        mEffort = newTokens / (1.0 + job.prompt().costTokens());
        mNumber = number;
        weighed(newTokens, nowMillis);
    }

    PoolJob job() {
        return mJob;
    }

    /** Notes how little would have to be read at the best of the upstreams that take work. */
    void weighed(long fewestNewTokens, long nowMillis) {
        mFewestNewTokens = fewestNewTokens;
        mWeighedMillis = nowMillis;
    }

    boolean weighedLately(long nowMillis) {
        return nowMillis - mWeighedMillis < WEIGHED_MILLIS;
    }

    long fewestNewTokens() {
        return mFewestNewTokens;
    }

    /**
     * Returns how long the first event would take from now on at the best upstream.
     *
     * @param weigh finds it out anew
     */
    long firstEventMillis(LongSupplier weigh, long nowMillis) {
        if (nowMillis - mFirstEventAtMillis >= WEIGHED_MILLIS) {
            mFirstEventMillis = weigh.getAsLong();
            mFirstEventAtMillis = nowMillis;
        }
        return mFirstEventMillis;
    }
}
