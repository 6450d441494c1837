package org.magnoliapick.pool;

import java.util.Collection;
import java.util.OptionalLong;
import org.magnoliapick.limit.UpstreamPauses;

/** Which upstreams of a pool take no requests of an instance for a while. */
final class PoolPauses {
    private final UpstreamPauses mPauses;
    private final PoolLoads mLoads;

    PoolPauses(UpstreamPauses pauses, PoolLoads loads) {
        mPauses = pauses;
        mLoads = loads;
    }

    /** Returns whether any upstream may be paused for any instance. */
    boolean isEmpty() {
        return mPauses.isEmpty();
    }

    /** Returns how long an upstream takes no requests of the job's instance, in milliseconds. */
    long remainingMillis(PoolJob job, UpstreamLoad load, long nowMillis) {
        return mPauses.remainingMillis(job.requester(), load.upstream().incarnation(), nowMillis);
    }

    /** Returns whether an upstream takes no requests of the job's instance. */
    boolean isPaused(PoolJob job, UpstreamLoad load, long nowMillis) {
        return !mPauses.isEmpty() && remainingMillis(job, load, nowMillis) > 0;
    }

    /** Returns whether there are upstreams and all of them are paused for the job's instance. */
    boolean areAllPaused(PoolJob job, Collection<UpstreamLoad> loads, long nowMillis) {
        return !mPauses.isEmpty()
                && !loads.isEmpty()
                && loads.stream().allMatch(each -> isPaused(job, each, nowMillis));
    }

    /** Returns whether an upstream that the job was not sent to takes it. */
    boolean hasOther(PoolJob job, long nowMillis) {
        return mPauses.isEmpty()
                ? job.excluded().size() < mLoads.all().size()
                : mLoads.all().stream()
                        .filter(each -> !job.excluded().contains(each.upstream().id()))
                        .anyMatch(each -> !isPaused(job, each, nowMillis));
    }

    /**
     * Returns the time until the first upstream takes requests of the job's instance, in
     * milliseconds; empty if one takes them now or there is none.
     */
    OptionalLong untilAnyMillis(PoolJob job, long nowMillis) {
        return areAllPaused(job, mLoads.all(), nowMillis)
                ? mLoads.all().stream()
                        .mapToLong(each -> remainingMillis(job, each, nowMillis))
                        .min()
                : OptionalLong.empty();
    }
}
