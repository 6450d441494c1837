package org.magnoliapick.pool;

import java.util.Comparator;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;

/** A waiting request, with the values that determine its place in the order. */
final class WaitingJob {
    /** Order among the requests of workspaces that were served about the same. */
    static final Comparator<WaitingJob> ORDER = orderWithClasses(each -> 0);

    /**
     * Returns the order among such requests if one class of prompts goes before the other.
     *
     * @param classOrder returns a lower value for requests of the class that goes first
     */
    static Comparator<WaitingJob> orderWithClasses(ToIntFunction<WaitingJob> classOrder) {
        return Comparator.comparingInt((WaitingJob each) -> each.mJob.rank())
                .thenComparing(each -> !each.mJob.callerRetry())
                .thenComparingInt(classOrder)
                .thenComparingDouble(each -> each.mPrefillRatio)
                .thenComparingLong(each -> each.mJob.submittedMillis())
                .thenComparingLong(each -> each.mSequence);
    }

    /** Time for which an evaluation of all upstreams is used, in milliseconds. */
    private static final long ESTIMATE_VALID_MILLIS = 20;

    private final PoolJob mJob;

    /** Tokens to prefill in relation to the request's cost; lower with more of it cached. */
    private final double mPrefillRatio;

    private final boolean mIsLong;
    private final long mSequence;
    private long mFewestNewTokens;
    private long mFewestNewAtMillis;
    private long mFirstEventMillis;
    private long mFirstEventAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an entry.
     *
     * @param newTokens how many tokens of its prompt an engine would have to prefill
     * @param isLong whether the prompt is long, see {@link PromptClasses}
     * @param sequence the number of the entry in the order of arrival
     */
    WaitingJob(PoolJob job, long newTokens, boolean isLong, long sequence, long nowMillis) {
        mJob = job;
        // Long prompts go in the order of arrival, since otherwise the longest ones always go last.
        mPrefillRatio = isLong ? 0 : newTokens / (1.0 + job.prompt().costTokens());
        mIsLong = isLong;
        mSequence = sequence;
        setFewestNewTokens(newTokens, nowMillis);
    }

    PoolJob job() {
        return mJob;
    }

    boolean isLong() {
        return mIsLong;
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
