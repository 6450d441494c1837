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
 * Grants the slots of one pool. All it knows is rebuilt from demand messages, so it can move to
 * another instance at any time; it decides shares and never correctness.
 */
final class Dispatcher {
    private static final long DECLINE_MILLIS = 100;
    private static final long CALM_MILLIS = 200;
    private static final int SILENT_REPORTS = 3;
    private static final int MAX_WINDOWS = 8;
    private static final long MIN_EXCHANGE_MILLIS = 20;

    /** Spaces the message numbers, so that they grow when the pool leaves and comes back. */
    private static final long SEQUENCES_PER_MILLI = 1_000;

    private final PoolId mPool;
    private final ShareSettings mSettings;
    private final UpstreamTable mUpstreams;
    private final FairIndex mIndex = new FairIndex();
    private final InFlightUnits mInFlight = new InFlightUnits(mIndex);
    private final RemoteAttainedService mRemote = new RemoteAttainedService(mIndex, mInFlight);
    private final Backlog mBacklog = new Backlog(mIndex);
    private final PoolSlots mSlots;
    private final Map<InstanceId, RouterDemand> mRouters = new TreeMap<>();
    private final Map<InstanceId, List<Grant>> mNewGrants = new TreeMap<>();
    private final TreeSet<InstanceId> mToTell = new TreeSet<>();
    private final Map<WorkspaceId, Double> mServedUnits = new TreeMap<>();
    private final Map<WorkspaceId, Double> mLocalInFlightUnits = new HashMap<>();
    private final Set<WorkspaceId> mChanged = new HashSet<>();
    private final long mEpochMillis;
    private final long mSettledMillis;
    private long mBackloggedMillis;
    private boolean mBacklogged;
    private long mAttainedSequence;
    private long mAttainedMillis;
    private double mUnsentUnits;

    Dispatcher(PoolId pool, ShareSettings settings, UpstreamTable upstreams, long nowMillis) {
        mPool = pool;
        mSettings = settings;
        mUpstreams = upstreams;
        mEpochMillis = nowMillis;
        mSettledMillis = nowMillis + settings.reportIntervalMillis();
        mSlots = new PoolSlots(pool, upstreams, mSettledMillis);
    }

    void setConfig(FleetConfig config) {
        mIndex.setConfig(config);
    }

    /** Takes a demand message; an old or repeated one changes nothing. */
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
            router = new RouterDemand(from, incarnation, nowMillis * SEQUENCES_PER_MILLI);
            mRouters.put(from, router);
        }
        if (!router.accept(demand.sequence(), nowMillis)) {
            return;
        }
        takeUse(router, demand, nowMillis);
        takeAnswers(router, demand.receivedSequence(), nowMillis);
        takeWorkspaces(router, demand, nowMillis);
        for (UpstreamId declined : demand.declined()) {
            router.decline(declined, nowMillis + DECLINE_MILLIS);
        }
        if (demand.full()) {
            mToTell.add(from);
        }
        grant(nowMillis);
    }

    /** Takes the service of another domain's pool. */
    void receiveAttained(InstanceId from, long incarnation, AttainedService message, long nowMillis) {
        mRemote.merge(from, incarnation, message, nowMillis < mSettledMillis, nowMillis);
    }

    /** Does what is due by time. */
    void tick(long nowMillis) {
        mRemote.tick(nowMillis);
        long silentMillis = SILENT_REPORTS * mSettings.reportIntervalMillis();
        for (RouterDemand router : List.copyOf(mRouters.values())) {
            expireGrants(router, nowMillis);
            if (nowMillis - router.lastReceivedMillis() > silentMillis) {
                drop(router, nowMillis);
                mRouters.remove(router.id());
            }
        }
        grant(nowMillis);
    }

    /** Grants free slots as long as somebody waits for one. */
    void grant(long nowMillis) {
        List<Upstream> free = mSlots.withFreeSlot(nowMillis);
        while (!mBacklog.isEmpty() && !free.isEmpty()) {
            Optional<DemandEntry> entry =
                    mBacklog.next(
                            candidate -> mSlots.choose(candidate, free, nowMillis).isPresent());
            if (entry.isEmpty()) {
                break;
            }
            Upstream upstream = mSlots.choose(entry.get(), free, nowMillis).orElseThrow();
            open(entry.get(), upstream, nowMillis);
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

    /** Returns the messages that are due, by receiver. */
    Map<InstanceId, Grants> takeMessages(long nowMillis) {
        Map<InstanceId, Grants> messages = new TreeMap<>();
        mToTell.addAll(mNewGrants.keySet());
        for (InstanceId id : mToTell) {
            RouterDemand router = mRouters.get(id);
            if (router != null) {
                messages.put(id, message(router, nowMillis));
            }
        }
        mToTell.clear();
        mNewGrants.clear();
        return messages;
    }

    /**
     * Returns the message for the dispatchers of other domains, if it is due: by time, or earlier
     * when more service than the cost of one request is not known there.
     */
    Optional<AttainedService> takeAttained(int peers, long nowMillis) {
        long elapsedMillis = nowMillis - mAttainedMillis;
        boolean periodic = elapsedMillis >= mSettings.exchangeIntervalMillis() * (1 + peers / 4);
        boolean much = mUnsentUnits > mIndex.largestCostUnits();
        if (!periodic && !(much && elapsedMillis >= MIN_EXCHANGE_MILLIS * peers)) {
            return Optional.empty();
        }
        mAttainedMillis = nowMillis;
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

    private void takeUse(RouterDemand router, Demand demand, long nowMillis) {
        Map<UpstreamId, Integer> reported = new HashMap<>();
        demand.upstreams().forEach(use -> reported.put(use.upstream(), use.inFlight()));
        if (demand.full()) {
            router.inFlight().keySet().forEach(known -> reported.putIfAbsent(known, 0));
        }
        reported.forEach(
                (upstream, inFlight) ->
                        changeHeld(
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
                    .ifPresent(known -> known.slotLimit().observeRemoteGap(use.gapMillis(), nowMillis));
        }
    }

    private void takeAnswers(RouterDemand router, long heardSequence, long nowMillis) {
        for (UpstreamId upstream : router.heldUpstreams()) {
            mSlots.addTaken(upstream, -router.held(upstream));
        }
        router.acknowledgeWindows(heardSequence);
        for (UpstreamId upstream : router.heldUpstreams()) {
            mSlots.addTaken(upstream, router.held(upstream));
        }
        closeGrants(router, grant -> grant.sequence() <= heardSequence, nowMillis);
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
                change(grant.entry(), () -> grant.entry().addGranted(-1, nowMillis));
            }
        }
    }

    private void takeWorkspaces(RouterDemand router, Demand demand, long nowMillis) {
        Set<DemandKey> listed = new HashSet<>();
        for (WorkspaceDemand figures : demand.workspaces()) {
            DemandKey key = new DemandKey(figures.workspace(), figures.target());
            listed.add(key);
            takeWorkspace(router, key, figures, nowMillis);
        }
        if (demand.full()) {
            for (DemandEntry entry : List.copyOf(router.entries().values())) {
                if (!listed.contains(entry.key())) {
                    clear(entry, nowMillis);
                }
            }
        }
    }

    private void takeWorkspace(
            RouterDemand router, DemandKey key, WorkspaceDemand figures, long nowMillis) {
        WorkspaceId workspace = key.workspace();
        mIndex.restoreLead(workspace, figures.leadUnits());
        double increase = router.usedIncrease(key, figures.usedUnits());
        DemandEntry entry =
                router.entries().computeIfAbsent(key, name -> new DemandEntry(router, name));
        double before =
                entry.demand() == null ? 0 : Units.clampCounter(entry.demand().inFlightUnits());
        double after = Units.clampCounter(figures.inFlightUnits());
        mIndex.charge(workspace, increase);
        mServedUnits.merge(workspace, increase, Double::sum);
        mUnsentUnits += increase;
        replaceInFlight(workspace, before, after);
        change(entry, () -> entry.setDemand(figures, nowMillis));
    }

    private void clear(DemandEntry entry, long nowMillis) {
        WorkspaceDemand last = entry.demand();
        replaceInFlight(entry.key().workspace(), Units.clampCounter(last.inFlightUnits()), 0);
        change(
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

    private void change(DemandEntry entry, Runnable step) {
        mBacklog.update(entry, mRemote.isBacklogged(entry.key().workspace()), step);
    }

    private void changeHeld(RouterDemand router, UpstreamId upstream, Runnable step) {
        int before = router.held(upstream);
        step.run();
        mSlots.addTaken(upstream, router.held(upstream) - before);
    }

    private void drop(RouterDemand router, long nowMillis) {
        closeGrants(router, grant -> true, nowMillis);
        List.copyOf(router.entries().values()).forEach(entry -> clear(entry, nowMillis));
        for (UpstreamId upstream : router.heldUpstreams()) {
            mSlots.addTaken(upstream, -router.held(upstream));
        }
    }

    private void open(DemandEntry entry, Upstream upstream, long nowMillis) {
        RouterDemand router = entry.router();
        WorkspaceId workspace = entry.key().workspace();
        double lead = mIndex.lead(workspace);
        double estimate = Units.clampRequest(entry.demand().estimateUnits());
        mIndex.recordCost(estimate);
        // All grants of one event travel in one message, which takes the next number.
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
        change(entry, () -> entry.addGranted(1, nowMillis));
        mNewGrants
                .computeIfAbsent(router.id(), id -> new ArrayList<>())
                .add(new Grant(workspace, entry.key().target(), upstream.id(), lead));
    }

    private void updateBacklogged(long nowMillis) {
        if (!mBacklog.isEmpty()) {
            mBackloggedMillis = nowMillis;
            if (!mBacklogged) {
                mBacklogged = true;
                mToTell.addAll(mRouters.keySet());
            }
        } else if (mBacklogged && nowMillis - mBackloggedMillis >= CALM_MILLIS) {
            mBacklogged = false;
        }
    }

    private Grants message(RouterDemand router, long nowMillis) {
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

    /** Divides half of the free slots among the instances that use the pool. */
    private Map<UpstreamId, Integer> windows(RouterDemand router, long nowMillis) {
        Map<UpstreamId, Integer> windows = new TreeMap<>();
        int parts = 2 * Math.max(1, mRouters.size());
        for (Upstream upstream : mSlots.withFreeSlot(nowMillis)) {
            int running = router.inFlight().getOrDefault(upstream.id(), 0);
            int kept = router.held(upstream.id()) - running;
            int extra = (mSlots.freeSlots(upstream, nowMillis) + kept) / parts;
            if (extra > 0 && windows.size() < MAX_WINDOWS) {
                windows.put(upstream.id(), running + extra);
            }
        }
        return windows;
    }
}
