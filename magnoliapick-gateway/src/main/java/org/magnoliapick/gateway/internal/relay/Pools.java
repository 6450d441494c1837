package org.magnoliapick.gateway.internal.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.http.ServerConnections;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.InstancePacket;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.pool.PoolMessage;
import org.magnoliapick.pool.ServicePool;
import org.magnoliapick.pool.PoolScheduler;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.PoolUse;
import org.magnoliapick.pool.Ticket;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;

/** The pools of all services with the connections to their upstreams. */
public final class Pools {
    private final Connector mConnector;
    private final PoolSettings mSettings;
    private final Map<String, ServicePool> mPools = new HashMap<>();
    private final Map<UpstreamId, UpstreamConnections> mLinks = new HashMap<>();
    private final UpstreamDirectory mDirectory;
    private final Consumer<PoolAction> mSink;
    private Supplier<Optional<InstanceId>> mDispatcher = Optional::empty;
    private Runnable mWake = () -> {};
    private Runnable mTickSoon = () -> {};
    private boolean mDirty;
    private Optional<TrafficConfig> mConfig = Optional.empty();

    /**
     * Creates the pools.
     *
     * @param sink carries out what is decided
     */
    public Pools(
            Connector connector,
            PoolSettings settings,
            UpstreamDirectory directory,
            Consumer<PoolAction> sink) {
        mConnector = connector;
        mSettings = settings;
        mDirectory = directory;
        mSink = sink;
    }

    /** Takes over a version of the configuration. */
    public void applyConfig(TrafficConfig config) {
        mConfig = Optional.of(config);
        mPools.forEach((name, pool) -> config.service(name).ifPresent(pool.scheduler()::configure));
    }

    /** Takes over a change of the directory. */
    public void upstreamsChanged(long nowMillis) {
        mPools.forEach((name, pool) -> pool.scheduler().setUpstreams(mDirectory.usable(name)));
        Map<UpstreamId, ListedUpstream> usable = new HashMap<>();
        mDirectory.usable().forEach(each -> usable.put(each.id(), each));
        mLinks.values()
                .removeIf(
                        link -> {
                            ListedUpstream now = usable.get(link.upstream().id());
                            boolean over = now == null || !now.sameIncarnation(link.upstream());
                            if (over) {
                                link.connections().close();
                            }
                            return over;
                        });
        tick(nowMillis);
    }

    /** Takes a request that asks for an upstream. */
    public void submit(PoolJob job, long nowMillis) {
        carryOut(pool(job.service()).submit(job, mDispatcher.get(), nowMillis));
        followUp();
    }

    /** Drops a waiting request. */
    public void withdraw(PoolJob job) {
        pool(job.service()).withdraw(job);
    }

    /** Notes an event or the head of an answer. */
    public void recordProgress(PoolJob job, Ticket ticket, long nowMillis) {
        if (pool(job.service()).scheduler().recordEvent(ticket, nowMillis)) {
            mDirty = true;
            followUp();
        }
    }

    /** Notes the end of an attempt. */
    public void attemptEnded(PoolJob job, Ticket ticket, Optional<AttemptEnd> end, long nowMillis) {
        ServicePool pool = pool(job.service());
        carryOut(pool.localActions(pool.scheduler().endAttempt(ticket, end, nowMillis)));
        mDirty = true;
        followUp();
    }

    /** Sees to it that messages and changes are sent, and that time passes for what waits. */
    private void followUp() {
        mWake.run();
        if (waitingCount() > 0) {
            mTickSoon.run();
        }
    }

    /** Lets time pass. */
    public void tick(long nowMillis) {
        Optional<InstanceId> dispatcher = mDispatcher.get();
        for (ServicePool each : List.copyOf(mPools.values())) {
            carryOut(each.tick(dispatcher, nowMillis));
        }
        followUp();
    }

    /** Logs what a dispatcher believes of the upstreams' load. */
    public void logLoad(EventLog log, long nowMillis) {
        if (mDispatcher.get().isPresent()) {
            return;
        }
        mPools.forEach(
                (service, pool) -> {
                    if (pool.scheduler().hasEngines()) {
                        log.line("pool.load")
                                .with("service", service)
                                .with("waiting", pool.waitingCount())
                                .with("shares", pool.scheduler().describeShares(nowMillis))
                                .with("load", pool.scheduler().describeLoad(nowMillis))
                                .log();
                    }
                });
    }

    /** Closes idle connections that are about to lapse. */
    public void sweep(long nowMillis) {
        mLinks.values().forEach(link -> link.connections().sweep(nowMillis));
    }

    /** Returns how many requests wait in all pools. */
    public int waitingCount() {
        return mPools.values().stream().mapToInt(ServicePool::waitingCount).sum();
    }

    /** Takes what another instance sent. */
    public void receive(InstancePacket packet, boolean news, long nowMillis) {
        packet.report()
                .filter(report -> news)
                .ifPresent(
                        report -> {
                            for (PoolUse use : report.pools()) {
                                pool(use.service())
                                        .scheduler()
                                        .updatePeer(report.sender().instance(), use, nowMillis);
                            }
                            packet.acknowledgedGrants()
                                    .forEach(
                                            (service, grant) ->
                                                    pool(service)
                                                            .scheduler()
                                                            .acknowledgeGrants(packet.from(), grant));
                        });
        packet.messages().forEach(each -> receive(packet.from(), each, nowMillis));
        if (news) {
            tick(nowMillis);
        } else {
            followUp();
        }
    }

    private void receive(InstanceId from, PoolMessage message, long nowMillis) {
        if (message instanceof PoolMessage.Query ask) {
            carryOut(pool(ask.job().service()).receiveQuery(from, ask.job(), nowMillis));
        } else if (message instanceof PoolMessage.Reply decide) {
            carryOut(pool(decide.service()).receiveDecision(from, decide.decision(), nowMillis));
        } else if (message instanceof PoolMessage.Withdrawal withdraw) {
            pool(withdraw.service()).receiveWithdrawal(from, withdraw.queryId());
        }
    }

    /** Returns whether there are messages to send. */
    public boolean hasMessages() {
        return mPools.values().stream().anyMatch(ServicePool::hasMessages);
    }

    /** Returns the messages that are to be sent, and forgets them. */
    public List<PoolMessage> takeOutbox() {
        List<PoolMessage> messages = new ArrayList<>();
        mPools.values().forEach(pool -> messages.addAll(pool.takeOutbox()));
        return messages;
    }

    /** Returns whether the own use changed since it was taken last. */
    public boolean isDirty() {
        return mDirty;
    }

    /** Returns whether the own use changed since this was asked last. */
    public boolean getAndClearDirty() {
        boolean dirty = mDirty;
        mDirty = false;
        return dirty;
    }

    /**
     * Sets who tells which other instance decides for this one.
     *
     * @param wake runs when there may be messages or changes to send
     * @param tickSoon runs when time is to pass soon because requests wait
     */
    public void setDispatcher(
            Supplier<Optional<InstanceId>> dispatcher, Runnable wake, Runnable tickSoon) {
        mDispatcher = dispatcher;
        mWake = wake;
        mTickSoon = tickSoon;
    }

    /** Returns the pools by their services' names. */
    public Map<String, ServicePool> pools() {
        return mPools;
    }

    /** Returns the connections to an upstream. */
    public ServerConnections connections(ListedUpstream upstream) {
        UpstreamConnections link = mLinks.get(upstream.id());
        if (link == null || !link.upstream().sameIncarnation(upstream)) {
            AddressPort address = AddressPort.parse(upstream.address());
            link = new UpstreamConnections(upstream, new ServerConnections(mConnector, address));
            mLinks.put(upstream.id(), link);
        }
        return link.connections();
    }

    private ServicePool pool(String service) {
        return mPools.computeIfAbsent(
                service,
                name -> {
                    ServiceSpec spec =
                            mConfig.flatMap(config -> config.service(name))
                                    .orElse(new ServiceSpec(name, 0, Optional.empty()));
                    PoolScheduler scheduler = new PoolScheduler(spec, mSettings);
                    scheduler.setUpstreams(mDirectory.usable(name));
                    return new ServicePool(name, scheduler);
                });
    }

    private void carryOut(List<PoolAction> actions) {
        mDirty |= !actions.isEmpty();
        actions.forEach(mSink);
    }

    private record UpstreamConnections(ListedUpstream upstream, ServerConnections connections) {}
}
