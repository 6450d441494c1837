package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.magnoliapick.internal.share.RouterDemand.DemandKey;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.share.ShareMessage.Demand;
import org.magnoliapick.share.ShareMessage.Grants;
import org.magnoliapick.share.ShareMessage.UpstreamUse;
import org.magnoliapick.share.ShareMessage.Window;
import org.magnoliapick.share.ShareMessage.WorkspaceDemand;
import org.magnoliapick.share.ShareSettings;

/**
 * The client of one instance for the dispatcher of one pool. It reports the demand of the instance
 * and keeps the standing credits that the dispatcher has granted. A demand message is complete or
 * lists only what has changed since the previous one.
 */
final class PoolClient {
    /** How long a dispatcher's report that its pool is backlogged stays valid. */
    private static final long BACKLOGGED_VALID_MILLIS = 2_000;

    private final PoolId mPool;
    private final ShareSettings mSettings;
    private final Map<DemandKey, QueueUsage> mUsages = new HashMap<>();
    private final Map<UpstreamId, Integer> mInFlight = new TreeMap<>();

    /** Standing credits: the most requests that this instance may run at an upstream. */
    private final Map<UpstreamId, Integer> mWindows = new TreeMap<>();

    private final Set<DemandKey> mChanged = new LinkedHashSet<>();
    private final Set<DemandKey> mUnreportedQueues = new LinkedHashSet<>();
    private final Set<UpstreamId> mChangedUpstreams = new TreeSet<>();
    private final Set<UpstreamId> mDeclined = new TreeSet<>();
    private Optional<InstanceId> mDispatcher = Optional.empty();
    private long mDispatcherIncarnation = -1;
    private long mReceivedSequence;
    private long mSequence;
    private long mLastReceivedMillis;
    private long mUnansweredSinceMillis = Long.MAX_VALUE;
    private long mCompleteReportMillis = Long.MIN_VALUE / 2;
    private int mWaitingQueues;
    private boolean mBacklogged;
    private boolean mSendNow;
    private boolean mCompleteReportDue;

    /** The demand of one queue for the pool and the service that it uses there. */
    private static final class QueueUsage {
        /** Service used since this client was created; the total never decreases. */
        private double mUsedUnits;

        /** Estimated remaining cost of the requests in flight. */
        private double mInFlightUnits;

        private int mInFlight;

        /** Normalised service above the least served workspace, as the last grant reported it. */
        private double mLeadUnits;

        /** Waiting requests in the last report, less the grants received since. */
        private int mReportedWaiting;

        private int mWaiting;
    }

    /** Supplies the values of a demand message that are not kept in the pool client. */
    interface DemandSource {
        /** Returns the first waiting request of a queue. */
        Optional<WaitingRequest> head(DemandKey key);

        /** Returns the estimated cost of a request, in service units. */
        double estimateUnits(WaitingRequest waiting);

        /** Returns the upstream of the pool with the best cache affinity for a request, if any. */
        Optional<UpstreamId> preferred(PoolId pool, WaitingRequest waiting);

        /** Returns the observed time between two tokens in milliseconds, 0 while unknown. */
        long gapMillis(UpstreamId upstream);
    }

    PoolClient(PoolId pool, ShareSettings settings) {
        mPool = pool;
        mSettings = settings;
    }

    PoolId pool() {
        return mPool;
    }

    Optional<InstanceId> dispatcher() {
        return mDispatcher;
    }

    /**
     * Sets the dispatcher of the pool. A new one gets a complete report at once, unless this
     * instance neither uses the pool nor waits for it.
     */
    void setDispatcher(Optional<InstanceId> dispatcher) {
        if (dispatcher.equals(mDispatcher)) {
            return;
        }
        mDispatcher = dispatcher;
        mDispatcherIncarnation = -1;
        mReceivedSequence = 0;
        mWindows.clear();
        mUnansweredSinceMillis = Long.MAX_VALUE;
        mBacklogged = false;
        requestCompleteReport();
    }

    /**
     * Sets how many requests of a queue wait for this pool. A queue that the dispatcher does not
     * know as waiting is reported at once.
     */
    void setWaiting(DemandKey key, int waiting) {
        QueueUsage usage = usage(key);
        if (usage.mWaiting == waiting) {
            return;
        }
        mWaitingQueues += Integer.signum(waiting) - Integer.signum(usage.mWaiting);
        usage.mWaiting = waiting;
        mChanged.add(key);
        if (waiting > 0 && usage.mReportedWaiting <= 0) {
            mUnreportedQueues.add(key);
        } else if (waiting == 0) {
            // The requests were started on a standing credit, so no report is needed.
            mUnreportedQueues.remove(key);
        }
    }

    void started(RunningRequest running) {
        QueueUsage usage = usage(key(running));
        usage.mInFlight++;
        usage.mInFlightUnits += running.estimateUnits();
        markChanged(running);
        mInFlight.merge(running.upstream().id(), 1, Integer::sum);
    }

    void used(RunningRequest running, double increase, double remainingBefore) {
        QueueUsage usage = usage(key(running));
        usage.mUsedUnits = Units.clampCounter(usage.mUsedUnits + increase);
        double decrease = remainingBefore - running.remainingUnits();
        usage.mInFlightUnits = Math.max(0, usage.mInFlightUnits - decrease);
        mChanged.add(key(running));
    }

    /** Removes an ended request; a free slot is reported at once if requests wait for the pool. */
    void ended(RunningRequest running) {
        QueueUsage usage = usage(key(running));
        usage.mInFlight--;
        double remaining = Math.max(0, usage.mInFlightUnits - running.remainingUnits());
        usage.mInFlightUnits = usage.mInFlight == 0 ? 0 : remaining;
        markChanged(running);
        mInFlight.computeIfPresent(
                running.upstream().id(), (id, count) -> count == 1 ? null : count - 1);
        mSendNow |= mBacklogged || mWaitingQueues > 0;
    }

    /**
     * Applies a message of the dispatcher, except for its grants. Once all standing credits are
     * revoked, the message is acknowledged at once, because the dispatcher reserves their slots
     * until then.
     *
     * @return false if the message is outdated, repeated or not from the present dispatcher
     */
    boolean acceptGrants(InstanceId from, long incarnation, Grants grants, long nowMillis) {
        boolean otherSender = mDispatcher.filter(from::equals).isEmpty();
        if (otherSender || incarnation < mDispatcherIncarnation) {
            return false;
        }
        if (incarnation > mDispatcherIncarnation) {
            mDispatcherIncarnation = incarnation;
            mReceivedSequence = 0;
        }
        if (grants.sequence() <= mReceivedSequence) {
            return false;
        }
        mReceivedSequence = grants.sequence();
        mLastReceivedMillis = nowMillis;
        mUnansweredSinceMillis = Long.MAX_VALUE;
        mBacklogged = grants.backlogged();
        boolean revoked = !mWindows.isEmpty() && grants.windows().isEmpty();
        mWindows.clear();
        for (Window window : grants.windows()) {
            mWindows.put(window.upstream(), window.maxInFlight());
        }
        mSendNow |= revoked;
        return true;
    }

    /**
     * Records a grant and the lead of the workspace that came with it. The lead is reported with
     * the demand, so that a new dispatcher can take it over.
     */
    void recordGrant(DemandKey key, double leadUnits) {
        QueueUsage usage = usage(key);
        usage.mLeadUnits = Units.clampCounter(leadUnits);
        usage.mReportedWaiting--;
        mSendNow |= usage.mWaiting > 1 && usage.mReportedWaiting <= 0;
    }

    /** Returns whether the dispatcher has recently reported that its pool is backlogged. */
    boolean backlogged(long nowMillis) {
        return mBacklogged && nowMillis - mLastReceivedMillis < BACKLOGGED_VALID_MILLIS;
    }

    /**
     * Returns an unused grant to the dispatcher with a message at once.
     *
     * @param declined whether requests wait that cannot use the upstream now
     */
    void returnGrant(DemandKey key, UpstreamId upstream, boolean declined) {
        mChanged.add(key);
        mSendNow = true;
        if (declined) {
            mDeclined.add(upstream);
        }
    }

    /** Returns whether a standing credit allows a start at the upstream without a grant. */
    boolean hasCredit(UpstreamId upstream, long nowMillis) {
        Integer window = mWindows.get(upstream);
        return window != null
                && nowMillis - mLastReceivedMillis <= mSettings.dispatcherTimeoutMillis()
                && mInFlight.getOrDefault(upstream, 0) < window;
    }

    /** Returns whether there is no dispatcher or it has not replied to a report in time. */
    boolean dispatcherUnresponsive(long nowMillis) {
        return mDispatcher.isEmpty()
                || (mUnansweredSinceMillis != Long.MAX_VALUE
                        && nowMillis - mUnansweredSinceMillis
                                > mSettings.dispatcherTimeoutMillis());
    }

    /** Returns whether a demand message should be sent now. */
    boolean demandDue(long nowMillis) {
        boolean immediate = mSendNow || !mUnreportedQueues.isEmpty();
        return immediate || (reportIntervalElapsed(nowMillis) && !idle());
    }

    /** Returns the demand message to send and clears what is pending. */
    Demand takeDemand(DemandSource source, long nowMillis) {
        boolean complete = mCompleteReportDue || reportIntervalElapsed(nowMillis);
        Set<DemandKey> keys = new LinkedHashSet<>(mChanged);
        Set<UpstreamId> upstreams = new TreeSet<>(mChangedUpstreams);
        if (complete) {
            mUsages.forEach((key, usage) -> addIfUsed(keys, key, usage));
            upstreams.addAll(mInFlight.keySet());
            mCompleteReportMillis = nowMillis;
            mUnansweredSinceMillis = Math.min(mUnansweredSinceMillis, nowMillis);
        }
        List<WorkspaceDemand> workspaces = new ArrayList<>();
        for (DemandKey key : keys) {
            workspaces.add(demand(key, source, nowMillis));
        }
        List<UpstreamUse> uses = new ArrayList<>();
        for (UpstreamId upstream : upstreams) {
            int inFlight = mInFlight.getOrDefault(upstream, 0);
            uses.add(new UpstreamUse(upstream, inFlight, source.gapMillis(upstream)));
        }
        List<UpstreamId> declined = List.copyOf(mDeclined);
        mChanged.clear();
        mChangedUpstreams.clear();
        mUnreportedQueues.clear();
        mDeclined.clear();
        mSendNow = false;
        mCompleteReportDue = false;
        return new Demand(
                mPool, ++mSequence, mReceivedSequence, complete, workspaces, uses, declined);
    }

    /** Makes the next message a complete report, due at once unless there is nothing to report. */
    void requestCompleteReport() {
        mCompleteReportDue = true;
        mSendNow = !idle();
    }

    /** Returns the demand of one queue; its used service is a total, not an increase. */
    private WorkspaceDemand demand(DemandKey key, DemandSource source, long nowMillis) {
        QueueUsage usage = usage(key);
        usage.mReportedWaiting = usage.mWaiting;
        Optional<WaitingRequest> head = usage.mWaiting == 0 ? Optional.empty() : source.head(key);
        return new WorkspaceDemand(
                key.workspace(),
                key.target(),
                usage.mWaiting,
                head.map(WaitingRequest::rankMillis).orElse(nowMillis),
                head.map(source::estimateUnits).orElse(0.0),
                usage.mUsedUnits,
                usage.mInFlightUnits,
                usage.mLeadUnits,
                head.flatMap(waiting -> source.preferred(mPool, waiting)));
    }

    private static void addIfUsed(Set<DemandKey> keys, DemandKey key, QueueUsage usage) {
        if (usage.mWaiting > 0 || usage.mInFlight > 0) {
            keys.add(key);
        }
    }

    private boolean reportIntervalElapsed(long nowMillis) {
        return nowMillis - mCompleteReportMillis >= mSettings.reportIntervalMillis();
    }

    private boolean idle() {
        return mInFlight.isEmpty() && mChanged.isEmpty() && mWaitingQueues == 0;
    }

    private void markChanged(RunningRequest running) {
        mChanged.add(key(running));
        mChangedUpstreams.add(running.upstream().id());
    }

    private static DemandKey key(RunningRequest running) {
        return new DemandKey(running.request().workspace(), running.request().target());
    }

    private QueueUsage usage(DemandKey key) {
        return mUsages.computeIfAbsent(key, name -> new QueueUsage());
    }
}
