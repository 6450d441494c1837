package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Decides which waiting requests of a pool are turned away, and when their callers should come
 * back: what cannot be on time is refused while its caller can still use the answer.
 */
final class Refusals {
    /** The part of its objective that a request may wait before it is refused as too late. */
    private static final double FREE_WAIT_SHARE = 0.125;

    /** How often it is looked which of many waiting requests will be late, in milliseconds. */
    private static final long PERIOD_MILLIS = 10;

    /** How many waiting requests are looked at each time. */
    private static final int FEW_WAITING = 32;

    private final PoolSettings mSettings;
    private final WaitingJobs mWaiting;
    private final ServedTokens mServed;
    private final PeerQueues mLevels;
    private long mLookedMillis = Long.MIN_VALUE / 2;

    Refusals(
            PoolSettings settings, WaitingJobs waiting, ServedTokens served, PeerQueues levels) {
        mSettings = settings;
        mWaiting = waiting;
        mServed = served;
        mLevels = levels;
    }

    /**
     * Takes out of the waiting requests those that will be late.
     *
     * @param cause why they cannot be served
     * @param firstEventMillis how long a request's first event would take from now on
     * @param readPerMilli how many tokens all engines together read in a millisecond
     */
    List<PoolAction> late(
            PoolCause cause,
            ToLongFunction<PoolJob> firstEventMillis,
            double readPerMilli,
            long nowMillis) {
        boolean manyWait = mWaiting.size() > FEW_WAITING;
        if (manyWait && nowMillis - mLookedMillis < PERIOD_MILLIS) {
            return List.of();
        }
        mLookedMillis = nowMillis;
        long tokensBefore = 0;
        List<PoolAction> refusals = new ArrayList<>();
        Iterator<WaitingJob> order = mWaiting.order(mServed, nowMillis);
        while (order.hasNext()) {
            WaitingJob entry = order.next();
            long waitMillis = waitMillis(tokensBefore, readPerMilli, nowMillis);
            if (isLate(entry, waitMillis, firstEventMillis, nowMillis)) {
                refusals.add(refuse(entry.job(), cause, readPerMilli, nowMillis));
            } else {
                tokensBefore += entry.job().prompt().promptTokens();
            }
        }
        refusals.forEach(each -> mWaiting.remove(each.job()));
        return refusals;
    }

    private static boolean isLate(
            WaitingJob entry,
            long waitMillis,
            ToLongFunction<PoolJob> firstEventMillis,
            long nowMillis) {
        PoolJob job = entry.job();
        long freeWait = (long) (job.objectiveMillis() * FREE_WAIT_SHARE);
        if (job.answerStarted() || nowMillis - job.submittedMillis() < freeWait) {
            return false;
        }
        long firstMillis =
                entry.firstEventMillis(() -> firstEventMillis.applyAsLong(job), nowMillis);
        return firstMillis > job.dueMillis() - nowMillis - waitMillis;
    }

    /** Returns the refusal of a request. */
    PoolAction refuse(PoolJob job, PoolCause cause, double readPerMilli, long nowMillis) {
        return new PoolAction.Refuse(job, retryAfterMillis(job, readPerMilli, nowMillis), cause);
    }

    /**
     * Returns how long it takes until a request that waits here gets its turn, in milliseconds.
     *
     * @param tokensBefore tokens of the requests that go before it here; the others' queues are
     *     taken to hold as much before it as this one, in proportion
     */
    private long waitMillis(long tokensBefore, double readPerMilli, long nowMillis) {
        double here = Math.max(1, mWaiting.tokens());
        double fleet = (here + mLevels.waitingTokens(nowMillis)) / here;
        return readPerMilli == 0 ? 0 : (long) (tokensBefore * fleet / readPerMilli);
    }

    /**
     * Returns when a refused caller should come back: once what waits now is done, and its
     * workspace is no further ahead of those that wait; spread, so that not all come together.
     */
    private long retryAfterMillis(PoolJob job, double readPerMilli, long nowMillis) {
        double served = mServed.of(job.account(), nowMillis);
        double level = Math.max(1, Math.min(served, mLevels.leastTokens(nowMillis)));
        double aheadMillis =
                served <= level ? 0 : mSettings.shareWindowMillis() * Math.log(served / level);
        double queueMillis = waitMillis(mWaiting.tokens(), readPerMilli, nowMillis);
        double leastMillis = job.objectiveMillis();
        double spread = 0.75 + 0.5 * ((job.id().hashCode() & 0xff) / 256.0);
        return (long) (spread * Math.max(leastMillis, Math.max(aheadMillis, queueMillis)));
    }
}
