package org.magnoliapick.gateway.internal.relay;

import java.util.Optional;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.request.AttemptEnd;

/**
 * The search for another upstream while the attempt of a stalled stream still runs. That attempt is
 * given up only once there is another place, because its upstream may go on after a silence.
 */
final class Failover {
    /** The minimum time from a search that failed to the next one, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 500;

    private final Relay mRelay;
    private final RelayLog mLog;
    private final Relays mRelays;
    private final Pools mPools;
    private Optional<PoolJob> mJob = Optional.empty();
    private long mNextSearchMillis = Long.MIN_VALUE;

    /** Whether it was logged that the current attempt has stalled. */
    private boolean mStallLogged;

    Failover(Relay relay, RelayLog log, Relays relays, Pools pools) {
        mRelay = relay;
        mLog = log;
        mRelays = relays;
        mPools = pools;
    }

    /** Records that an attempt starts, which has not stalled. */
    void attemptStarted() {
        mStallLogged = false;
    }

    /** Logs once for each attempt that it has stalled. */
    void logStall(boolean eventReceived) {
        if (!mStallLogged) {
            mStallLogged = true;
            mLog.placedLine("attempt.stalled").with("eventReceived", eventReceived).log();
        }
    }

    /** Returns whether no search is running and the last one was long enough ago. */
    boolean maySearch(long nowMillis) {
        return mJob.isEmpty() && nowMillis >= mNextSearchMillis;
    }

    /** Asks the pool for another place; the decision may arrive before this method returns. */
    void search(PoolJob job, long nowMillis) {
        mJob = Optional.of(job);
        mRelays.addPending(job, mRelay);
        mPools.submit(job, nowMillis);
    }

    /** Returns whether a decision of the pool is about the search, which ends by it. */
    boolean endsBy(PoolAction action) {
        boolean ends = mJob.filter(each -> each.queryId() == action.job().queryId()).isPresent();
        if (ends) {
            mJob = Optional.empty();
        }
        return ends;
    }

    /** Goes on at the upstream that was found, unless that has no advantage any more. */
    void found(PoolAction.Start start, long nowMillis) {
        Optional<ListedUpstream> stalled = mRelay.stalledUpstream(nowMillis);
        boolean same = stalled.filter(start.ticket().upstream()::sameIncarnation).isPresent();
        if (stalled.isPresent() && !same && mRelay.mayRunAgain(nowMillis)) {
            mRelay.replaceAttempt(start);
            return;
        }
        release(start, nowMillis);
        if (same) {
            unavailable("same-upstream", 0, nowMillis);
        }
    }

    /** Records that the pool has no place now. */
    void refused(PoolAction.Refuse refuse, long nowMillis) {
        unavailable(refuse.cause().logName(), refuse.retryAfterMillis(), nowMillis);
    }

    private void unavailable(String reason, long retryAfterMillis, long nowMillis) {
        mNextSearchMillis = nowMillis + Math.max(MIN_RETRY_MILLIS, retryAfterMillis);
        mLog.placedLine("failover.unavailable").with("reason", reason).log();
    }

    /** Gives a place back that is not used. */
    void release(PoolAction.Start start, long nowMillis) {
        mPools.attemptEnded(
                start.job(), start.ticket(), Optional.of(AttemptEnd.CANCELLED), nowMillis);
    }

    /** Ends the search, because the attempt went on or ended. */
    void withdraw() {
        Optional<PoolJob> job = mJob;
        mJob = Optional.empty();
        job.ifPresent(mRelays::withdraw);
    }
}
