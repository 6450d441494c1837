package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.internal.share.RouterDemand.DemandEntry;
import org.magnoliapick.internal.share.RouterDemand.DemandKey;
import org.magnoliapick.internal.share.RouterDemand.OpenGrant;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.share.ShareMessage.AttainedService;
import org.magnoliapick.share.ShareMessage.Demand;
import org.magnoliapick.share.ShareMessage.Grant;
import org.magnoliapick.share.ShareMessage.Grants;
import org.magnoliapick.share.ShareMessage.ServiceTotal;
import org.magnoliapick.share.ShareMessage.UpstreamUse;
import org.magnoliapick.share.ShareMessage.Window;
import org.magnoliapick.share.ShareMessage.WorkspaceDemand;
import org.magnoliapick.share.ShareSettings;

/**
 * Grants the slots of one pool. Its state is rebuilt from demand messages, so the dispatcher role
 * can move to another instance at any time. It affects how capacity is shared, never correctness.
 */
final class Dispatcher {
    /** How long an instance gets no grants for an upstream that it declined. */
    private static final long DECLINE_MILLIS = 100;

    /** How long the backlog must be empty until the pool counts as not backlogged. */
    private static final long BACKLOG_CLEAR_MILLIS = 200;

    /** Number of report intervals without a message after which an instance is dropped. */
    private static final int MAX_MISSED_REPORTS = 3;

    /** Maximum number of upstreams with a standing credit in one message. */
    private static final int MAX_WINDOWS = 8;

    /** Minimum time between two exchanges of attained service, per peer. */
    private static final long MIN_EXCHANGE_MILLIS = 20;

    /**
     * Message sequences start at the current time multiplied by this, so that they still increase
     * when the pool moves to another instance and back.
     */
    private static final long SEQUENCE_STEP_PER_MILLI = 1_000;

    private final PoolId mPool;
    private final ShareSettings mSettings;
    private final UpstreamTable mUpstreams;
    private final FairIndex mIndex = new FairIndex();
    private final InFlightUnits mInFlight = new InFlightUnits(mIndex);
    private final RemoteAttainedService mRemoteService =
            new RemoteAttainedService(mIndex, mInFlight);
    private final Backlog mBacklog = new Backlog(mIndex);
    private final PoolSlots mSlots;
    private final Map<InstanceId, RouterDemand> mRouters = new TreeMap<>();
    private final Map<InstanceId, List<Grant>> mNewGrants = new TreeMap<>();
    private final TreeSet<InstanceId> mToNotify = new TreeSet<>();
    private final Map<WorkspaceId, Double> mServedUnits = new TreeMap<>();
    private final Map<WorkspaceId, Double> mLocalInFlightUnits = new HashMap<>();

    /** Workspaces with changed totals since the last exchange of attained service. */
    private final Set<WorkspaceId> mChanged = new HashSet<>();

    /** When this dispatcher was created; its totals of served units count from then. */
    private final long mEpochMillis;

    private final long mWarmUpEndMillis;
    private long mLastBacklogMillis;
    private boolean mBacklogged;
    private long mAttainedSequence;
    private long mLastExchangeMillis;
    private double mUnsentUnits;

    Dispatcher(PoolId pool, ShareSettings settings, UpstreamTable upstreams, long nowMillis) {
        mPool = pool;
        mSettings = settings;
        mUpstreams = upstreams;
        mEpochMillis = nowMillis;
        mWarmUpEndMillis = nowMillis + settings.reportIntervalMillis();
        mSlots = new PoolSlots(pool, upstreams, mWarmUpEndMillis);
    }

    void setConfig(FleetConfig config) {
        mIndex.setConfig(config);
    }

    /** Applies a demand message; an outdated or duplicate one does not change the demand. */
    void receiveDemand(InstanceId from, long incarnation, Demand demand, long nowMillis) {
        RouterDemand router = mRouters.get(from);
        if (router != null && router.incarnation() > incarnation) {
            return;
        }
        if (router != null && router.incarnation() < incarnation) {
            drop(router, nowMillis);
            router = null;
        }
        if (router == null) {
            router = new RouterDemand(from, incarnation, nowMillis * SEQUENCE_STEP_PER_MILLI);
            mRouters.put(from, router);
        }
        if (!router.accept(demand.sequence(), nowMillis)) {
            return;
        }
        applyUpstreamUse(router, demand, nowMillis);
        applyAcknowledgement(router, demand.receivedSequence(), nowMillis);
        applyWorkspaces(router, demand, nowMillis);
        for (UpstreamId declined : demand.declined()) {
            router.decline(declined, nowMillis + DECLINE_MILLIS);
        }
        if (demand.full()) {
            mToNotify.add(from);
        }
        grantFreeSlots(nowMillis);
    }

    /** Merges the attained service that the dispatcher of another domain reported. */
    void receiveAttained(
            InstanceId from, long incarnation, AttainedService message, long nowMillis) {
        mRemoteService.merge(from, incarnation, message, nowMillis < mWarmUpEndMillis, nowMillis);
    }

    /** Expires grants, drops unresponsive instances and grants free slots. */
    void tick(long nowMillis) {
        mRemoteService.tick(nowMillis);
        long timeoutMillis = MAX_MISSED_REPORTS * mSettings.reportIntervalMillis();
        for (RouterDemand router : List.copyOf(mRouters.values())) {
            expireGrants(router, nowMillis);
            if (nowMillis - router.lastReceivedMillis() > timeoutMillis) {
                drop(router, nowMillis);
                mRouters.remove(router.id());
            }
        }
        grantFreeSlots(nowMillis);
    }

    /** Grants free slots until no slot is free or no waiting request can use one. */
    void grantFreeSlots(long nowMillis) {
        List<Upstream> free = mSlots.withFreeSlot(nowMillis);
        while (!mBacklog.isEmpty() && !free.isEmpty()) {
            Optional<DemandEntry> entry =
                    mBacklog.next(
                            candidate -> mSlots.choose(candidate, free, nowMillis).isPresent());
            if (entry.isEmpty()) {
                break;
            }
            Upstream upstream = mSlots.choose(entry.get(), free, nowMillis).orElseThrow();
            openGrant(entry.get(), upstream, nowMillis);
            if (mSlots.freeSlots(upstream, nowMillis) <= 0) {
                free.remove(upstream);
            }
        }
        updateBacklogged(nowMillis);
    }

    /** Returns whether no instance uses the pool through this dispatcher. */
    boolean isUnused() {
        return mRouters.isEmpty();
    }

    /** Returns the messages that are due, by recipient. */
    Map<InstanceId, Grants> takeMessages(long nowMillis) {
        Map<InstanceId, Grants> messages = new TreeMap<>();
        mToNotify.addAll(mNewGrants.keySet());
        for (InstanceId id : mToNotify) {
            RouterDemand router = mRouters.get(id);
            if (router != null) {
                messages.put(id, newMessage(router, nowMillis));
            }
        }
        mToNotify.clear();
        mNewGrants.clear();
        return messages;
    }

    /**
     * Returns the message for the dispatchers of other domains, if it is due: periodically, or
     * earlier when the service not sent yet exceeds the largest cost of one request. Both intervals
     * grow with the number of peers.
     */
    Optional<AttainedService> takeAttained(int peers, long nowMillis) {
        long elapsedMillis = nowMillis - mLastExchangeMillis;
        boolean periodic = elapsedMillis >= mSettings.exchangeIntervalMillis() * (1 + peers / 4);
        boolean overThreshold = mUnsentUnits > mIndex.largestCostUnits();
        if (!periodic && !(overThreshold && elapsedMillis >= MIN_EXCHANGE_MILLIS * peers)) {
            return Optional.empty();
        }
        mLastExchangeMillis = nowMillis;
        mUnsentUnits = 0;
        List<ServiceTotal> totals = new ArrayList<>();
        Set<WorkspaceId> listed = new TreeSet<>(mChanged);
        if (periodic) {
            mIndex.leastServedFirst().forEach(listed::add);
        }
        for (WorkspaceId workspace : listed) {
            totals.add(
                    new ServiceTotal(
                            workspace,
                            mServedUnits.getOrDefault(workspace, 0.0),
                            mLocalInFlightUnits.getOrDefault(workspace, 0.0),
                            mBacklog.contains(workspace)));
        }
        mChanged.clear();
        return totals.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new AttainedService(mPool, mEpochMillis, ++mAttainedSequence, totals));
    }

    private void applyUpstreamUse(RouterDemand router, Demand demand, long nowMillis) {
        Map<UpstreamId, Integer> reported = new HashMap<>();
        demand.upstreams().forEach(use -> reported.put(use.upstream(), use.inFlight()));
        if (demand.full()) {
            router.inFlight().keySet().forEach(known -> reported.putIfAbsent(known, 0));
        }
        reported.forEach(
                (upstream, inFlight) ->
                        updateHeld(
                                router,
                                upstream,
                                () -> {
                                    if (inFlight > 0) {
                                        router.inFlight().put(upstream, inFlight);
                                    } else {
                                        router.inFlight().remove(upstream);
                                    }
                                }));
        for (UpstreamUse use : demand.upstreams()) {
            mUpstreams
                    .find(use.upstream())
                    .filter(known -> use.gapMillis() > 0)
                    .ifPresent(
                            known ->
                                    known.slotLimit().observeRemoteGap(use.gapMillis(), nowMillis));
        }
    }

    private void applyAcknowledgement(
            RouterDemand router, long acknowledgedSequence, long nowMillis) {
        for (UpstreamId upstream : router.heldUpstreams()) {
            mSlots.addTaken(upstream, -router.held(upstream));
        }
        router.acknowledgeWindows(acknowledgedSequence);
        for (UpstreamId upstream : router.heldUpstreams()) {
            mSlots.addTaken(upstream, router.held(upstream));
        }
        closeGrants(router, grant -> grant.sequence() <= acknowledgedSequence, nowMillis);
    }

    private void expireGrants(RouterDemand router, long nowMillis) {
        closeGrants(router, grant -> grant.expiresMillis() <= nowMillis, nowMillis);
    }

    private void closeGrants(RouterDemand router, Predicate<OpenGrant> test, long nowMillis) {
        Iterator<OpenGrant> grants = router.openGrants().iterator();
        while (grants.hasNext()) {
            OpenGrant grant = grants.next();
            if (test.test(grant)) {
                grants.remove();
                mSlots.addTaken(grant.upstream(), -1);
                WorkspaceId workspace = grant.entry().key().workspace();
                replaceInFlight(workspace, grant.estimateUnits(), 0);
                updateEntry(grant.entry(), () -> grant.entry().addGranted(-1, nowMillis));
            }
        }
    }

    private void applyWorkspaces(RouterDemand router, Demand demand, long nowMillis) {
        Set<DemandKey> listed = new HashSet<>();
        for (WorkspaceDemand reported : demand.workspaces()) {
            DemandKey key = new DemandKey(reported.workspace(), reported.target());
            listed.add(key);
            applyWorkspace(router, key, reported, nowMillis);
        }
        if (demand.full()) {
            for (DemandEntry entry : List.copyOf(router.entries().values())) {
                if (!listed.contains(entry.key())) {
                    clear(entry, nowMillis);
                }
            }
        }
    }

    private void applyWorkspace(
            RouterDemand router, DemandKey key, WorkspaceDemand reported, long nowMillis) {
        WorkspaceId workspace = key.workspace();
        mIndex.restoreLead(workspace, reported.leadUnits());
        double increase = router.usedIncrease(key, reported.usedUnits());
        DemandEntry entry =
                router.entries().computeIfAbsent(key, name -> new DemandEntry(router, name));
        double before =
                entry.demand() == null ? 0 : Units.clampCounter(entry.demand().inFlightUnits());
        double after = Units.clampCounter(reported.inFlightUnits());
        mIndex.charge(workspace, increase);
        mServedUnits.merge(workspace, increase, Double::sum);
        mUnsentUnits += increase;
        replaceInFlight(workspace, before, after);
        updateEntry(entry, () -> entry.setDemand(reported, nowMillis));
    }

    private void clear(DemandEntry entry, long nowMillis) {
        WorkspaceDemand last = entry.demand();
        replaceInFlight(entry.key().workspace(), Units.clampCounter(last.inFlightUnits()), 0);
        updateEntry(
                entry,
                () ->
                        entry.setDemand(
                                new WorkspaceDemand(
                                        last.workspace(),
                                        last.target(),
                                        0,
                                        last.headRankMillis(),
                                        last.estimateUnits(),
                                        last.usedUnits(),
                                        0,
                                        last.leadUnits(),
                                        Optional.empty()),
                                nowMillis));
    }

    private void replaceInFlight(WorkspaceId workspace, double before, double after) {
        mInFlight.replace(workspace, before, after);
        mLocalInFlightUnits.merge(workspace, after - before, Double::sum);
        mChanged.add(workspace);
    }

    private void updateEntry(DemandEntry entry, Runnable update) {
        mBacklog.update(entry, mRemoteService.isBacklogged(entry.key().workspace()), update);
    }

    private void updateHeld(RouterDemand router, UpstreamId upstream, Runnable update) {
        int before = router.held(upstream);
        update.run();
        mSlots.addTaken(upstream, router.held(upstream) - before);
    }

    private void drop(RouterDemand router, long nowMillis) {
        closeGrants(router, grant -> true, nowMillis);
        List.copyOf(router.entries().values()).forEach(entry -> clear(entry, nowMillis));
        for (UpstreamId upstream : router.heldUpstreams()) {
            mSlots.addTaken(upstream, -router.held(upstream));
        }
    }

    private void openGrant(DemandEntry entry, Upstream upstream, long nowMillis) {
        RouterDemand router = entry.router();
        WorkspaceId workspace = entry.key().workspace();
        double lead = mIndex.lead(workspace);
        double estimate = Units.clampRequest(entry.demand().estimateUnits());
        mIndex.recordCost(estimate);
        // All grants of one event are sent in one message, which has the next sequence.
        long sequence = router.peekGrantSequence();
        router.openGrants()
                .add(
                        new OpenGrant(
                                sequence,
                                entry,
                                upstream.id(),
                                estimate,
                                nowMillis + mSettings.grantTimeoutMillis()));
        mSlots.addTaken(upstream.id(), 1);
        replaceInFlight(workspace, 0, estimate);
        updateEntry(entry, () -> entry.addGranted(1, nowMillis));
        mNewGrants
                .computeIfAbsent(router.id(), id -> new ArrayList<>())
                .add(new Grant(workspace, entry.key().target(), upstream.id(), lead));
    }

    private void updateBacklogged(long nowMillis) {
        if (!mBacklog.isEmpty()) {
            mLastBacklogMillis = nowMillis;
            if (!mBacklogged) {
                mBacklogged = true;
                mToNotify.addAll(mRouters.keySet());
            }
        } else if (mBacklogged && nowMillis - mLastBacklogMillis >= BACKLOG_CLEAR_MILLIS) {
            mBacklogged = false;
        }
    }

    private Grants newMessage(RouterDemand router, long nowMillis) {
        long sequence = router.nextGrantSequence();
        Map<UpstreamId, Integer> windows = mBacklogged ? Map.of() : windows(router, nowMillis);
        for (UpstreamId upstream : windows.keySet()) {
            mSlots.addTaken(upstream, -router.held(upstream));
        }
        router.recordSentWindows(windows, sequence);
        List<Window> listed = new ArrayList<>();
        windows.forEach((upstream, slots) -> listed.add(new Window(upstream, slots)));
        for (UpstreamId upstream : windows.keySet()) {
            mSlots.addTaken(upstream, router.held(upstream));
        }
        List<Grant> grants = mNewGrants.getOrDefault(router.id(), List.of());
        return new Grants(mPool, sequence, mBacklogged, listed, grants);
    }

    /** Returns the standing credits: half of the free slots, divided among the instances. */
    private Map<UpstreamId, Integer> windows(RouterDemand router, long nowMillis) {
        Map<UpstreamId, Integer> windows = new TreeMap<>();
        int divisor = 2 * Math.max(1, mRouters.size());
        for (Upstream upstream : mSlots.withFreeSlot(nowMillis)) {
            int running = router.inFlight().getOrDefault(upstream.id(), 0);
            int unusedWindow = router.held(upstream.id()) - running;
            int extra = (mSlots.freeSlots(upstream, nowMillis) + unusedWindow) / divisor;
            if (extra > 0 && windows.size() < MAX_WINDOWS) {
                windows.put(upstream.id(), running + extra);
            }
        }
        return windows;
    }
}
