package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.ToLongFunction;

/**
 * Decides which waiting requests of a pool are refused, and when their callers should retry. A
 * request that cannot meet its objective is refused while the refusal is still of use to its
 * caller.
 */
final class Refusals {
    /**
     * Fraction of its objective for which a request may wait before it can be refused as too late.
     */
    private static final double MIN_WAIT_FRACTION = 0.125;

    /** Minimum time between two checks for late requests while many wait, in milliseconds. */
    private static final long CHECK_PERIOD_MILLIS = 10;

    /** Number of waiting requests up to which late requests are checked for each time. */
    private static final int MAX_UNTHROTTLED_JOBS = 32;

    private final PoolSettings mSettings;
    private final WaitingJobs mWaiting;
    private final ServedTokens mServed;
    private final PeerQueues mPeerQueues;
    private final PromptClasses mClasses;
    private long mCheckedMillis = Long.MIN_VALUE / 2;

    Refusals(
            PoolSettings settings,
            WaitingJobs waiting,
            ServedTokens served,
            PeerQueues peerQueues,
            PromptClasses classes) {
        mSettings = settings;
        mWaiting = waiting;
        mServed = served;
        mPeerQueues = peerQueues;
        mClasses = classes;
    }

    /**
     * Removes and refuses the waiting requests that will be late.
     *
     * @param cause the reason why they cannot be served
     * @param atOnce whether waiting is of no use, not even for a short time
     * @param firstEventMillis estimates the time from now to a request's first event, in
     *     milliseconds
     * @param throughput what all upstreams can do together
     */
    List<PoolAction> refuseLate(
            PoolCause cause,
            boolean atOnce,
            ToLongFunction<PoolJob> firstEventMillis,
            Throughput throughput,
            long nowMillis) {
        boolean manyWait = mWaiting.size() > MAX_UNTHROTTLED_JOBS;
        if (manyWait && nowMillis - mCheckedMillis < CHECK_PERIOD_MILLIS) {
            return List.of();
        }
        mCheckedMillis = nowMillis;
        long tokensBefore = 0;
        int requestsBefore = 0;
        List<PoolAction> refusals = new ArrayList<>();
        Iterator<WaitingJob> order =
                mWaiting.order(mServed, mClasses.isLongFirst(nowMillis), nowMillis);
        while (order.hasNext()) {
            WaitingJob entry = order.next();
            long waitMillis = waitMillis(tokensBefore, requestsBefore, throughput, nowMillis);
            if (isLate(entry, atOnce, waitMillis, firstEventMillis, nowMillis)) {
                refusals.add(refuse(entry.job(), cause, throughput, nowMillis));
            } else {
                tokensBefore += entry.job().prompt().promptTokens();
                requestsBefore++;
            }
        }
        refusals.forEach(each -> mWaiting.remove(each.job()));
        return refusals;
    }

    /**
     * Removes and refuses the waiting requests of instances of which no upstream takes requests for
     * longer than such a request may wait.
     */
    List<PoolAction> refusePaused(PoolPauses pauses, Throughput throughput, long nowMillis) {
        List<PoolAction> refusals = new ArrayList<>();
        for (PoolJob job : mWaiting.jobs()) {
            OptionalLong untilMillis = pauses.untilAnyMillis(job, nowMillis);
            long waitedMillis = nowMillis - job.submittedMillis();
            if (!job.answerStarted()
                    && untilMillis.isPresent()
                    && waitedMillis + untilMillis.getAsLong() > minWaitMillis(job)) {
                long retryAfterMillis = retryAfterMillis(job, throughput, nowMillis);
                refusals.add(
                        new PoolAction.Refuse(
                                job,
                                Math.min(untilMillis.getAsLong(), retryAfterMillis),
                                PoolCause.PAUSED));
            }
        }
        refusals.forEach(each -> mWaiting.remove(each.job()));
        return refusals;
    }

    /** Returns how long a request waits before it can be refused as too late, in milliseconds. */
    private static long minWaitMillis(PoolJob job) {
        return (long) (job.objectiveMillis() * MIN_WAIT_FRACTION);
    }

    private static boolean isLate(
            WaitingJob entry,
            boolean atOnce,
            long waitMillis,
            ToLongFunction<PoolJob> firstEventMillis,
            long nowMillis) {
        PoolJob job = entry.job();
        long minWaitMillis = atOnce ? 0 : minWaitMillis(job);
        if (job.answerStarted() || nowMillis - job.submittedMillis() < minWaitMillis) {
            return false;
        }
        long firstEventInMillis =
                entry.firstEventMillis(() -> firstEventMillis.applyAsLong(job), nowMillis);
        return firstEventInMillis > job.dueMillis() - nowMillis - waitMillis;
    }

    /** Returns the refusal of a request, with the time after which its caller should retry. */
    PoolAction refuse(PoolJob job, PoolCause cause, Throughput throughput, long nowMillis) {
        return new PoolAction.Refuse(job, retryAfterMillis(job, throughput, nowMillis), cause);
    }

    /**
     * Estimates how long a request that waits here has to wait until it is next, in milliseconds.
     *
     * @param tokensBefore prompt tokens of the requests before it at this instance; the queues of
     *     other instances are assumed to have proportionally as many before it
     * @param requestsBefore the number of these requests
     */
    private long waitMillis(
            long tokensBefore, int requestsBefore, Throughput throughput, long nowMillis) {
        double ownTokens = Math.max(1, mWaiting.tokens());
        double fleetRatio = (ownTokens + mPeerQueues.waitingTokens(nowMillis)) / ownTokens;
        return (long) throughput.millisFor(tokensBefore * fleetRatio, requestsBefore * fleetRatio);
    }

    /**
     * Returns after which time a refused caller should retry, in milliseconds: once the present
     * queue is served and the decaying number of tokens that its workspace was served has reached
     * the limit set by the workspaces that wait at other instances, but at least the duration of
     * the request's objective. The result is multiplied by a factor from 0.75 to 1.25 that depends
     * on the request, so that the callers do not all retry at once.
     */
    private long retryAfterMillis(PoolJob job, Throughput throughput, long nowMillis) {
        double served = mServed.of(job.account(), nowMillis);
        double limit = Math.max(1, Math.min(served, mPeerQueues.servedLimitTokens(nowMillis)));
        double decayMillis =
                served <= limit ? 0 : mSettings.shareWindowMillis() * Math.log(served / limit);
        double queueMillis = waitMillis(mWaiting.tokens(), mWaiting.size(), throughput, nowMillis);
        double minRetryMillis = job.objectiveMillis();
        double spread = 0.75 + 0.5 * ((job.id().hashCode() & 0xff) / 256.0);
        return (long) (spread * Math.max(minRetryMillis, Math.max(decayMillis, queueMillis)));
    }
}
