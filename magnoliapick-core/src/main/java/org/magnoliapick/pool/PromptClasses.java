package org.magnoliapick.pool;

import java.util.Collection;

/**
 * Decides how long prompts share engines with short ones. It answers loads in which prompts of very
 * different lengths go to the same engines: an engine prefills in the order of arrival, so a long
 * prompt at each engine leaves none at which a short one gets its first event in time, and long
 * prompts that always go last are hardly served under load.
 *
 * <p>A prompt is long at an engine if its prefill there takes a large part of the shortest recent
 * objective. Long prompts are in prefill only at so many engines that the others suffice for the
 * recent demand of short prompts, but always at one. A long prompt is held back for a bounded time
 * only, so that the order between workspaces decides under overload. No engine is reserved: without
 * demand of one class the other one uses all engines.
 *
 * <p>While the speed of an engine is not measured, no prompt is long there.
 */
final class PromptClasses {
    /**
     * Fraction of the shortest objective above which a prefill is long: a request that arrives
     * behind it can still wait for its own turn.
     */
    private static final double LONG_FRACTION = 0.25;

    /**
     * Speed that is kept for short prompts, in relation to their mean demand: they arrive unevenly,
     * and engines also decode.
     */
    private static final double SHORT_DEMAND_FACTOR = 2;

    /** Fraction of its objective less its prefill for which a long prompt is held back at most. */
    private static final double HOLD_FRACTION = 0.5;

    /**
     * Cost of a long prefill for each request that runs at the engine, as a fraction of its
     * duration: all of them get their tokens later.
     */
    private static final double DELAY_WEIGHT = 0.2;

    /**
     * Fraction of long prompts that are started, in relation to that of short ones, below which
     * long ones go first. Under overload, 0.9 served the longest prompts 1.6 times as often as
     * their whole kind, and 0.45 less than the required 0.8.
     */
    private static final double MIN_LONG_FRACTION = 0.6;

    /** Time over which the demand of a class is averaged, in milliseconds. */
    private static final double DEMAND_WINDOW_MILLIS = 2_000;

    /** Minimum time for which the objective of a request counts, in milliseconds. */
    private static final long OBJECTIVE_WINDOW_MILLIS = 10_000;

    private final boolean mEnabled;
    private final Demand mShortDemand = new Demand();
    private final Demand mLongDemand = new Demand();
    private long mShortestMillis = Long.MAX_VALUE;
    private long mPreviousShortestMillis = Long.MAX_VALUE;
    private long mWindowStartMillis;

    /**
     * Creates classes without any demand.
     *
     * @param enabled whether long prompts are treated differently at all
     */
    PromptClasses(boolean enabled) {
        mEnabled = enabled;
    }

    /**
     * Records the arrival of a request; returns whether its prompt is long at an average engine.
     *
     * @param newTokens how many tokens of its prompt an engine would have to prefill
     * @param loads the engines
     */
    boolean recordArrival(
            PoolJob job, long newTokens, Collection<UpstreamLoad> loads, long nowMillis) {
        if (!mEnabled) {
            return false;
        }
        if (nowMillis - mWindowStartMillis >= OBJECTIVE_WINDOW_MILLIS) {
            mPreviousShortestMillis = mShortestMillis;
            mShortestMillis = Long.MAX_VALUE;
            mWindowStartMillis = nowMillis;
        }
        mShortestMillis = Math.min(mShortestMillis, job.objectiveMillis());
        double tokensPerMilli =
                loads.stream()
                        .filter(UpstreamLoad::isSpeedMeasured)
                        .mapToDouble(each -> each.tokensPerMilli(nowMillis))
                        .average()
                        .orElse(Double.POSITIVE_INFINITY);
        boolean isLong = newTokens > tokensPerMilli * longMillis();
        (isLong ? mLongDemand : mShortDemand).recordArrival(newTokens, nowMillis);
        return isLong;
    }

    /** Returns the prefill time above which a prompt is long, in milliseconds. */
    private double longMillis() {
        return Math.min(mShortestMillis, mPreviousShortestMillis) * LONG_FRACTION;
    }

    private boolean isLong(long newTokens, UpstreamLoad load, long nowMillis) {
        return mEnabled
                && load.isSpeedMeasured()
                && newTokens / load.tokensPerMilli(nowMillis) > longMillis();
    }

    /** Records the start of a waiting request. */
    void recordStart(WaitingJob entry, long nowMillis) {
        if (mEnabled) {
            (entry.isLong() ? mLongDemand : mShortDemand).recordStart(nowMillis);
        }
    }

    /**
     * Returns whether long prompts go before short ones of workspaces that were served about the
     * same: if a smaller fraction of them was started recently.
     */
    boolean isLongFirst(long nowMillis) {
        return mEnabled
                && mLongDemand.startedFraction(nowMillis)
                        < mShortDemand.startedFraction(nowMillis) * MIN_LONG_FRACTION;
    }

    /**
     * Returns the time to the first event by which it is determined whether a request will be late,
     * in milliseconds. Of a long prompt only as many tokens count as of the shortest long one, so
     * that under load it is not refused for its length.
     */
    long firstEventMillis(Candidate candidate, long nowMillis) {
        UpstreamLoad load = candidate.load();
        long countedTokens =
                isLong(candidate.newTokens(), load, nowMillis)
                        ? (long) (longMillis() * load.tokensPerMilli(nowMillis))
                        : candidate.newTokens();
        return load.firstEventMillis(countedTokens, nowMillis);
    }

    /** Returns an engine with the cost of delaying the requests that run there. */
    ScoredCandidate addDelay(ScoredCandidate choice, long nowMillis) {
        UpstreamLoad load = choice.load();
        if (!isLong(choice.newTokens(), load, nowMillis)) {
            return choice;
        }
        double prefillMillis = choice.newTokens() / load.tokensPerMilli(nowMillis);
        double delay = DELAY_WEIGHT * load.running(nowMillis) * prefillMillis;
        return new ScoredCandidate(load, choice.newTokens(), choice.cost() + delay);
    }

    /** Returns at which engines long prompts may start until the next start of any request. */
    Limit limit(Collection<UpstreamLoad> loads, long nowMillis) {
        return new Limit(loads, nowMillis);
    }

    /** Returns the number of engines that prefill long prompts. */
    int longPrefills(Collection<UpstreamLoad> loads, long nowMillis) {
        double longMillis = longMillis();
        return (int)
                loads.stream()
                        .filter(each -> mEnabled && each.hasLongPrefill(longMillis, nowMillis))
                        .count();
    }

    /**
     * Returns the state for log lines, with a space at its end; empty if prompts have no classes.
     */
    String describe(Collection<UpstreamLoad> loads, WaitingJobs waiting, long nowMillis) {
        int waitingLong = waiting.longCount();
        return mEnabled
                ? PoolLogFormat.classes(
                        longPrefills(loads, nowMillis), waitingLong, waiting.size() - waitingLong)
                : "";
    }

    /** The limit on long prompts in the present state of all engines. */
    final class Limit {
        private final Collection<UpstreamLoad> mLoads;
        private final long mNowMillis;
        private boolean mComputed;
        private boolean mAnyLong;
        private double mFreeTokensPerMilli;

        private Limit(Collection<UpstreamLoad> loads, long nowMillis) {
            mLoads = loads;
            mNowMillis = nowMillis;
        }

        /** Returns whether a request may start at an engine. */
        boolean allows(PoolJob job, ScoredCandidate choice) {
            UpstreamLoad load = choice.load();
            if (job.answerStarted() || !isLong(choice.newTokens(), load, mNowMillis)) {
                return true;
            }
            double prefillMillis = choice.newTokens() / load.tokensPerMilli(mNowMillis);
            double holdMillis = HOLD_FRACTION * (job.objectiveMillis() - prefillMillis);
            if (mNowMillis - job.submittedMillis() >= holdMillis) {
                return true;
            }
            compute();
            double left = mFreeTokensPerMilli;
            if (isFree(load)) {
                left -= load.tokensPerMilli(mNowMillis);
            }
            double demand = mShortDemand.tokensPerMilli(mNowMillis);
            return !mAnyLong || left >= demand * SHORT_DEMAND_FACTOR;
        }

        private void compute() {
            if (mComputed) {
                return;
            }
            mComputed = true;
            for (UpstreamLoad load : mLoads) {
                if (load.hasLongPrefill(longMillis(), mNowMillis)) {
                    mAnyLong = true;
                } else if (isFree(load)) {
                    mFreeTokensPerMilli += load.tokensPerMilli(mNowMillis);
                }
            }
        }

        private boolean isFree(UpstreamLoad load) {
            return load.health().isAvailable(mNowMillis)
                    && !load.hasLongPrefill(longMillis(), mNowMillis);
        }
    }

    /** The recent demand of one class, exponentially decayed. */
    private static final class Demand {
        private double mTokens;
        private double mArrived;
        private double mStarted;
        private long mDecayedMillis;

        private void decay(long nowMillis) {
            double factor = Math.exp((mDecayedMillis - nowMillis) / DEMAND_WINDOW_MILLIS);
            mTokens *= factor;
            mArrived *= factor;
            mStarted *= factor;
            mDecayedMillis = nowMillis;
        }

        private void recordArrival(long tokens, long nowMillis) {
            decay(nowMillis);
            mTokens += tokens;
            mArrived++;
        }

        private void recordStart(long nowMillis) {
            decay(nowMillis);
            mStarted++;
        }

        private double tokensPerMilli(long nowMillis) {
            decay(nowMillis);
            return mTokens / DEMAND_WINDOW_MILLIS;
        }

        /** Returns the fraction of the arrived requests that were started. */
        private double startedFraction(long nowMillis) {
            decay(nowMillis);
            return mArrived < 1 ? 1 : mStarted / mArrived;
        }
    }
}
