package org.magnoliapick.internal.share;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.internal.share.RouterDemand.DemandKey;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.record.Cause;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareMessage;
import org.magnoliapick.share.ShareMessage.AttainedService;
import org.magnoliapick.share.ShareMessage.Demand;
import org.magnoliapick.share.ShareMessage.Grant;
import org.magnoliapick.share.ShareMessage.Grants;
import org.magnoliapick.share.ShareSettings;

/**
 * Shares capacity by late binding: requests stay queued in their entry instance until the
 * dispatcher of a pool grants a slot, or a standing credit (window) allows an immediate start. The
 * instance has the dispatcher role for the pools that {@link PoolRouting} assigns to it.
 */
public final class DispatcherNode extends BaseShareNode {
    /** How long a request waits before it is also reported to the pools of other domains. */
    private static final long SPILL_DELAY_MILLIS = 20;

    /** The same for another domain whose pool recently reported a backlog. */
    private static final long BACKLOGGED_SPILL_DELAY_MILLIS = 250;

    /** Maximum rounds of messages from the instance to itself in one event. */
    private static final int MAX_ROUNDS = 64;

    private final PoolRouting mRouting;
    private final StaticShare mStaticShare;
    private final CreditSlots mCreditSlots;
    private final Map<PoolId, PoolClient> mClients = new TreeMap<>();
    private final Map<PoolId, Dispatcher> mDispatchers = new TreeMap<>();
    private final Set<Spill> mSpilled = new HashSet<>();
    private final ArrayDeque<ShareMessage> mLoopback = new ArrayDeque<>();
    private final Map<InstanceId, Long> mIncarnations = new HashMap<>();
    private final PoolClient.DemandSource mDemandSource;
    private long mSequence;
    private boolean mLeaving;

    /** A queue that is also reported to the pool of another domain. */
    private record Spill(DemandKey key, PoolId pool) {}

    /** Creates the dispatcher policy of one entry instance. */
    public DispatcherNode(ShareSettings settings) {
        super(settings);
        mRouting = new PoolRouting(settings);
        mStaticShare = new StaticShare(upstreams(), settings.domain());
        mCreditSlots = new CreditSlots(upstreams(), settings.domain(), this::clientOf);
        mDemandSource = new LocalDemandSource(queues(), costs(), upstreams());
    }

    @Override
    public List<ShareAction> viewChanged(FleetView view, long nowMillis) {
        mRouting.setView(view);
        mStaticShare.setView(view);
        refreshDispatchers();
        return super.viewChanged(view, nowMillis);
    }

    @Override
    public List<ShareAction> configChanged(FleetConfig config, long nowMillis) {
        List<ShareAction> actions = super.configChanged(config, nowMillis);
        mDispatchers.values().forEach(dispatcher -> dispatcher.setConfig(config()));
        return actions;
    }

    @Override
    public List<ShareAction> receive(
            InstanceId from, long incarnation, ShareMessage message, long nowMillis) {
        long known = mIncarnations.merge(from, incarnation, Math::max);
        if (incarnation >= known) {
            handle(from, incarnation, message, nowMillis);
        }
        return takeActions(nowMillis);
    }

    @Override
    public List<ShareAction> leave(long nowMillis) {
        mLeaving = true;
        mDispatchers.clear();
        mRouting.excludeSelf();
        ShareMessage message = new ShareMessage.Leaving(++mSequence);
        mRouting.domainPeers().forEach(to -> addAction(new ShareAction.Send(to, message)));
        refreshDispatchers();
        return takeActions(nowMillis);
    }

    @Override
    void startWaiting(String target, long nowMillis) {
        startAll(target, mCreditSlots.at(nowMillis), Cause.STANDING_CREDIT, nowMillis);
        Optional<PoolClient> localPool = mRouting.localPool(target).map(this::client);
        if (localPool.isPresent() && localPool.get().dispatcherUnresponsive(nowMillis)) {
            startAll(target, mStaticShare.at(nowMillis), Cause.FALLBACK, nowMillis);
        }
    }

    @Override
    void queueChanged(String target, WorkspaceId workspace, long nowMillis) {
        DemandKey key = new DemandKey(workspace, target);
        int waiting = queues().size(target, workspace);
        Optional<PoolId> localPool = mRouting.localPool(target);
        localPool.ifPresent(pool -> client(pool).setWaiting(key, waiting));
        for (PoolId pool : mRouting.spillPools(target)) {
            PoolClient client = client(pool);
            if (waiting == 0 || localPool.isEmpty() || mSpilled.contains(new Spill(key, pool))) {
                client.setWaiting(key, waiting);
            }
            if (waiting == 0) {
                mSpilled.remove(new Spill(key, pool));
            }
        }
    }

    @Override
    void started(RunningRequest running, long nowMillis) {
        PoolClient client = clientOf(running.upstream());
        running.setPool(client.pool());
        client.started(running);
    }

    @Override
    void used(RunningRequest running, double increase, double remainingBefore, long nowMillis) {
        client(running).used(running, increase, remainingBefore);
    }

    @Override
    void ended(RunningRequest running, AttemptOutcome end, long nowMillis) {
        client(running).ended(running);
    }

    @Override
    void ticked(long nowMillis) {
        spillWaiting(nowMillis);
        mDispatchers.values().forEach(dispatcher -> dispatcher.tick(nowMillis));
        mDispatchers
                .entrySet()
                .removeIf(entry -> !isDispatcherOf(entry.getKey()) && entry.getValue().isUnused());
        exchangeAttained(nowMillis);
    }

    @Override
    void flush(long nowMillis) {
        for (int round = 0; round < MAX_ROUNDS; round++) {
            sendDemands(nowMillis);
            sendGrants(nowMillis);
            if (mLoopback.isEmpty()) {
                return;
            }
            while (!mLoopback.isEmpty()) {
                handle(settings().self(), settings().incarnation(), mLoopback.remove(), nowMillis);
            }
        }
    }

    private void handle(InstanceId from, long incarnation, ShareMessage message, long nowMillis) {
        if (message instanceof Demand demand) {
            handleDemand(from, incarnation, demand, nowMillis);
        } else if (message instanceof Grants grants) {
            handleGrants(from, incarnation, grants, nowMillis);
        } else if (message instanceof AttainedService attained) {
            handleAttained(from, incarnation, attained, nowMillis);
        } else if (message instanceof ShareMessage.Leaving) {
            mRouting.markLeft(from, incarnation);
            refreshDispatchers();
        }
    }

    private void handleDemand(InstanceId from, long incarnation, Demand demand, long nowMillis) {
        if (mLeaving) {
            send(from, new ShareMessage.Leaving(++mSequence));
            return;
        }
        dispatcher(demand.pool(), nowMillis).receiveDemand(from, incarnation, demand, nowMillis);
    }

    private void handleGrants(InstanceId from, long incarnation, Grants grants, long nowMillis) {
        PoolClient client = client(grants.pool());
        if (!client.acceptGrants(from, incarnation, grants, nowMillis)) {
            return;
        }
        for (Grant grant : grants.grants()) {
            useGrant(client, grant, nowMillis);
        }
        startAllWaiting(nowMillis);
    }

    private void useGrant(PoolClient client, Grant grant, long nowMillis) {
        DemandKey key = new DemandKey(grant.workspace(), grant.target());
        client.recordGrant(key, grant.leadUnits());
        Optional<WaitingRequest> eligible = firstEligible(key, grant.upstream(), nowMillis);
        if (eligible.isEmpty()) {
            boolean stillWaiting = queues().size(grant.target(), grant.workspace()) > 0;
            client.returnGrant(key, grant.upstream(), stillWaiting);
            return;
        }
        boolean fromOwnDomain = client.pool().domain().equals(settings().domain());
        Upstream upstream = upstreams().find(grant.upstream()).orElseThrow();
        start(
                eligible.get(),
                upstream,
                fromOwnDomain ? Cause.LEAST_SERVICE : Cause.SPILL,
                nowMillis);
    }

    private Optional<WaitingRequest> firstEligible(DemandKey key, UpstreamId id, long nowMillis) {
        Optional<Upstream> upstream =
                upstreams()
                        .find(id)
                        .filter(known -> known.serves(key.target()))
                        .filter(known -> known.inFlight() < known.limit(nowMillis));
        if (upstream.isEmpty()) {
            return Optional.empty();
        }
        for (WaitingRequest waiting : queues().inOrder(key.target(), key.workspace())) {
            if (!waiting.request().excluded().contains(id)) {
                return Optional.of(waiting);
            }
        }
        return Optional.empty();
    }

    private void handleAttained(
            InstanceId from, long incarnation, AttainedService attained, long nowMillis) {
        PoolId sender = attained.pool();
        mDispatchers.forEach(
                (pool, dispatcher) -> {
                    boolean sameTarget = pool.target().equals(sender.target());
                    if (sameTarget && !pool.domain().equals(sender.domain())) {
                        dispatcher.receiveAttained(from, incarnation, attained, nowMillis);
                    }
                });
    }

    private void startAll(String target, SlotSource slots, Cause cause, long nowMillis) {
        Optional<LocalScheduler.Choice> choice = scheduler().next(target, slots);
        while (choice.isPresent()) {
            start(choice.get().waiting(), choice.get().upstream(), cause, nowMillis);
            choice = scheduler().next(target, slots);
        }
    }

    private void spillWaiting(long nowMillis) {
        for (String target : queues().targets()) {
            for (WorkspaceId workspace : queues().workspaces(target)) {
                spillWaiting(new DemandKey(workspace, target), nowMillis);
            }
        }
    }

    private void spillWaiting(DemandKey key, long nowMillis) {
        WaitingRequest head = queues().head(key.target(), key.workspace()).orElseThrow();
        long waitedMillis = nowMillis - head.arrivedMillis();
        if (waitedMillis < SPILL_DELAY_MILLIS) {
            return;
        }
        for (PoolId pool : mRouting.spillPools(key.target())) {
            PoolClient client = client(pool);
            boolean due =
                    waitedMillis >= BACKLOGGED_SPILL_DELAY_MILLIS || !client.backlogged(nowMillis);
            if (due && mSpilled.add(new Spill(key, pool))) {
                client.setWaiting(key, queues().size(key.target(), key.workspace()));
            }
        }
    }

    private void sendDemands(long nowMillis) {
        for (PoolClient client : mClients.values()) {
            if (client.dispatcher().isPresent() && client.demandDue(nowMillis)) {
                send(client.dispatcher().get(), client.takeDemand(mDemandSource, nowMillis));
            }
        }
    }

    private void sendGrants(long nowMillis) {
        for (Dispatcher dispatcher : mDispatchers.values()) {
            dispatcher.takeMessages(nowMillis).forEach(this::send);
        }
    }

    private void exchangeAttained(long nowMillis) {
        mDispatchers.forEach(
                (pool, dispatcher) -> {
                    List<InstanceId> peers = mRouting.peerDispatchers(pool);
                    dispatcher
                            .takeAttained(peers.size(), nowMillis)
                            .ifPresent(message -> peers.forEach(peer -> send(peer, message)));
                });
    }

    private void send(InstanceId to, ShareMessage message) {
        if (to.equals(settings().self())) {
            mLoopback.add(message);
        } else {
            addAction(new ShareAction.Send(to, message));
        }
    }

    private boolean isDispatcherOf(PoolId pool) {
        return mRouting.dispatcher(pool).filter(settings().self()::equals).isPresent();
    }

    private void refreshDispatchers() {
        mClients.forEach((pool, client) -> client.setDispatcher(mRouting.dispatcher(pool)));
    }

    private Dispatcher dispatcher(PoolId pool, long nowMillis) {
        return mDispatchers.computeIfAbsent(
                pool,
                id -> {
                    Dispatcher created = new Dispatcher(id, settings(), upstreams(), nowMillis);
                    created.setConfig(config());
                    return created;
                });
    }

    private PoolClient client(PoolId pool) {
        return mClients.computeIfAbsent(
                pool,
                id -> {
                    PoolClient created = new PoolClient(id, settings());
                    created.setDispatcher(mRouting.dispatcher(id));
                    return created;
                });
    }

    private PoolClient clientOf(Upstream upstream) {
        String target = upstream.member().targets().iterator().next();
        return client(mRouting.pools().pool(upstream.domain(), target));
    }

    private PoolClient client(RunningRequest running) {
        return client(running.pool().orElseThrow());
    }
}
