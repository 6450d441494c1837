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

/** One instance's dealings with the dispatcher of one pool. */
final class PoolClient {
    /** How long a dispatcher's word that its pool is backlogged counts. */
    private static final long BACKLOGGED_MILLIS = 2_000;

    private final PoolId mPool;
    private final ShareSettings mSettings;
    private final Map<DemandKey, QueueUsage> mUsages = new HashMap<>();
    private final Map<UpstreamId, Integer> mInFlight = new TreeMap<>();
    private final Map<UpstreamId, Integer> mWindows = new TreeMap<>();
    private final Set<DemandKey> mChanged = new LinkedHashSet<>();
    private final Set<DemandKey> mUnknownQueues = new LinkedHashSet<>();
    private final Set<UpstreamId> mChangedUpstreams = new TreeSet<>();
    private final Set<UpstreamId> mDeclined = new TreeSet<>();
    private Optional<InstanceId> mDispatcher = Optional.empty();
    private long mDispatcherIncarnation = -1;
    private long mHeardSequence;
    private long mSequence;
    private long mHeardMillis;
    private long mAskedMillis = Long.MAX_VALUE;
    private long mWholeMillis = Long.MIN_VALUE / 2;
    private int mWaitingQueues;
    private boolean mBacklogged;
    private boolean mUrgent;
    private boolean mWholeDue;

    /** What one queue uses of the pool. */
    private static final class QueueUsage {
        private double mUsedUnits;
        private double mInFlightUnits;
        private int mInFlight;
        private double mLeadUnits;
        private int mKnownWaiting;
        private int mWaiting;
    }

    /** Gives the figures of a queue that only the instance knows. */
    interface DemandSource {
        /** Returns the first request of a queue. */
        Optional<WaitingRequest> head(DemandKey key);

        /** Returns the estimated cost of a request, in service units. */
        double estimateUnits(WaitingRequest waiting);

        /** Returns the upstream of the pool that probably holds the prefix of a request. */
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

    /** Follows a change of the dispatcher; a new one gets a whole report at once. */
    void setDispatcher(Optional<InstanceId> dispatcher) {
        if (dispatcher.equals(mDispatcher)) {
            return;
        }
        mDispatcher = dispatcher;
        mDispatcherIncarnation = -1;
        mHeardSequence = 0;
        mWindows.clear();
        mAskedMillis = Long.MAX_VALUE;
        mBacklogged = false;
        wholeDue();
    }

    /** Sets how many requests of a queue wait for this pool. */
    void setWaiting(DemandKey key, int waiting) {
        QueueUsage usage = usage(key);
        if (usage.mWaiting == waiting) {
            return;
        }
        mWaitingQueues += Integer.signum(waiting) - Integer.signum(usage.mWaiting);
        usage.mWaiting = waiting;
        mChanged.add(key);
        if (waiting > 0 && usage.mKnownWaiting <= 0) {
            mUnknownQueues.add(key);
        } else if (waiting == 0) {
            // What a standing credit started at once is no news for the dispatcher.
            mUnknownQueues.remove(key);
        }
    }

    void started(RunningRequest running) {
        QueueUsage usage = usage(key(running));
        usage.mInFlight++;
        usage.mInFlightUnits += running.estimateUnits();
        changed(running);
        mInFlight.merge(running.upstream().id(), 1, Integer::sum);
    }

    void used(RunningRequest running, double increase, double remainingBefore) {
        QueueUsage usage = usage(key(running));
        usage.mUsedUnits = Units.clampCounter(usage.mUsedUnits + increase);
        double less = remainingBefore - running.remainingUnits();
        usage.mInFlightUnits = Math.max(0, usage.mInFlightUnits - less);
        mChanged.add(key(running));
    }

    /** Follows the end of a request; a slot that others wait for is reported at once. */
    void ended(RunningRequest running) {
        QueueUsage usage = usage(key(running));
        usage.mInFlight--;
        double left = Math.max(0, usage.mInFlightUnits - running.remainingUnits());
        usage.mInFlightUnits = usage.mInFlight == 0 ? 0 : left;
        changed(running);
        mInFlight.computeIfPresent(
                running.upstream().id(), (id, count) -> count == 1 ? null : count - 1);
        mUrgent |= mBacklogged || mWaitingQueues > 0;
    }

    /** Takes a message of the dispatcher; returns false for an old or repeated one. */
    boolean acceptGrants(InstanceId from, long incarnation, Grants grants, long nowMillis) {
        boolean stranger = mDispatcher.filter(from::equals).isEmpty();
        if (stranger || incarnation < mDispatcherIncarnation) {
            return false;
        }
        if (incarnation > mDispatcherIncarnation) {
            mDispatcherIncarnation = incarnation;
            mHeardSequence = 0;
        }
        if (grants.sequence() <= mHeardSequence) {
            return false;
        }
        mHeardSequence = grants.sequence();
        mHeardMillis = nowMillis;
        mAskedMillis = Long.MAX_VALUE;
        mBacklogged = grants.backlogged();
        boolean recalled = !mWindows.isEmpty() && grants.windows().isEmpty();
        mWindows.clear();
        for (Window window : grants.windows()) {
            mWindows.put(window.upstream(), window.maxInFlight());
        }
        mUrgent |= recalled;
        return true;
    }

    /** Notes a grant and the lead that the dispatcher sees, for the next dispatcher. */
    void recordGrant(DemandKey key, double leadUnits) {
        QueueUsage usage = usage(key);
        usage.mLeadUnits = Units.clampCounter(leadUnits);
        usage.mKnownWaiting--;
        mUrgent |= usage.mWaiting > 1 && usage.mKnownWaiting <= 0;
    }

    /** Returns whether the dispatcher lately said that its pool is backlogged. */
    boolean backlogged(long nowMillis) {
        return mBacklogged && nowMillis - mHeardMillis < BACKLOGGED_MILLIS;
    }

    /** Notes that a grant could not be used, though requests may wait. */
    void returnGrant(DemandKey key, UpstreamId upstream, boolean declined) {
        mChanged.add(key);
        mUrgent = true;
        if (declined) {
            mDeclined.add(upstream);
        }
    }

    /** Returns whether a request may start at the upstream without asking. */
    boolean hasCredit(UpstreamId upstream, long nowMillis) {
        Integer window = mWindows.get(upstream);
        return window != null
                && nowMillis - mHeardMillis <= mSettings.dispatcherTimeoutMillis()
                && mInFlight.getOrDefault(upstream, 0) < window;
    }

    /** Returns whether the dispatcher has left a demand unanswered for too long. */
    boolean dispatcherUnresponsive(long nowMillis) {
        return mDispatcher.isEmpty()
                || (mAskedMillis != Long.MAX_VALUE
                        && nowMillis - mAskedMillis > mSettings.dispatcherTimeoutMillis());
    }

    /** Returns whether a message should go out now. */
    boolean demandDue(long nowMillis) {
        boolean urgent = mUrgent || !mUnknownQueues.isEmpty();
        return urgent || (periodic(nowMillis) && !idle());
    }

    /** Makes the message that is due. */
    Demand takeDemand(DemandSource figures, long nowMillis) {
        boolean whole = mWholeDue || periodic(nowMillis);
        Set<DemandKey> keys = new LinkedHashSet<>(mChanged);
        Set<UpstreamId> upstreams = new TreeSet<>(mChangedUpstreams);
        if (whole) {
            mUsages.forEach((key, usage) -> addIfUsed(keys, key, usage));
            upstreams.addAll(mInFlight.keySet());
            mWholeMillis = nowMillis;
            mAskedMillis = Math.min(mAskedMillis, nowMillis);
        }
        List<WorkspaceDemand> workspaces = new ArrayList<>();
        for (DemandKey key : keys) {
            workspaces.add(demand(key, figures, nowMillis));
        }
        List<UpstreamUse> uses = new ArrayList<>();
        for (UpstreamId upstream : upstreams) {
            int inFlight = mInFlight.getOrDefault(upstream, 0);
            uses.add(new UpstreamUse(upstream, inFlight, figures.gapMillis(upstream)));
        }
        List<UpstreamId> declined = List.copyOf(mDeclined);
        mChanged.clear();
        mChangedUpstreams.clear();
        mUnknownQueues.clear();
        mDeclined.clear();
        mUrgent = false;
        mWholeDue = false;
        return new Demand(mPool, ++mSequence, mHeardSequence, whole, workspaces, uses, declined);
    }

    /** Asks for a whole report at once. */
    void wholeDue() {
        mWholeDue = true;
        mUrgent = !idle();
    }

    private WorkspaceDemand demand(DemandKey key, DemandSource figures, long nowMillis) {
        QueueUsage usage = usage(key);
        usage.mKnownWaiting = usage.mWaiting;
        Optional<WaitingRequest> head = usage.mWaiting == 0 ? Optional.empty() : figures.head(key);
        return new WorkspaceDemand(
                key.workspace(),
                key.target(),
                usage.mWaiting,
                head.map(WaitingRequest::rankMillis).orElse(nowMillis),
                head.map(figures::estimateUnits).orElse(0.0),
                usage.mUsedUnits,
                usage.mInFlightUnits,
                usage.mLeadUnits,
                head.flatMap(waiting -> figures.preferred(mPool, waiting)));
    }

    private static void addIfUsed(Set<DemandKey> keys, DemandKey key, QueueUsage usage) {
        if (usage.mWaiting > 0 || usage.mInFlight > 0) {
            keys.add(key);
        }
    }

    private boolean periodic(long nowMillis) {
        return nowMillis - mWholeMillis >= mSettings.reportIntervalMillis();
    }

    private boolean idle() {
        return mInFlight.isEmpty() && mChanged.isEmpty() && mWaitingQueues == 0;
    }

    private void changed(RunningRequest running) {
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
