package org.magnoliapick.gateway.internal.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.internal.http.ConnectionPool;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.ColdUpstreams;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.limit.UpstreamPauses;
import org.magnoliapick.pool.EvacuatedDomains;
import org.magnoliapick.pool.EvacuationUpdate;
import org.magnoliapick.pool.FleetShare;
import org.magnoliapick.pool.InstancePacket;
import org.magnoliapick.pool.LeavingUpdate;
import org.magnoliapick.pool.LeavingUpstreams;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.pool.PoolMessage;
import org.magnoliapick.pool.PoolScheduler;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.PoolUse;
import org.magnoliapick.pool.QueryCounts;
import org.magnoliapick.pool.ServicePool;
import org.magnoliapick.pool.Ticket;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;

/**
 * The scheduling pools of all services and the connections to their upstreams. Feeds requests, peer
 * messages, configuration and directory changes to the pools and passes their decisions on.
 */
public final class Pools {
    private final Connector mConnector;
    private final PoolSettings mSettings;
    private final Map<String, ServicePool> mPools = new HashMap<>();
    private final Map<UpstreamId, UpstreamConnections> mConnections = new HashMap<>();
    private final UpstreamDirectory mDirectory;
    private final PromptQuarantine mQuarantine;
    private final RateLimits mRateLimits;
    private final UpstreamPauses mPauses;
    private final Consumer<PoolAction> mSink;
    private Supplier<Optional<InstanceId>> mRemoteDispatcher = Optional::empty;
    private Runnable mScheduleFlush = () -> {};
    private Runnable mScheduleTick = () -> {};

    /** Whether this instance's use changed since it was last reported to the dispatcher. */
    private boolean mDirty;

    private Optional<TrafficConfig> mConfig = Optional.empty();
    private FleetShare mShare = FleetShare.WHOLE;

    /**
     * Creates an empty set; pools are added when a service is first used.
     *
     * @param quarantine the poison requests, which are refused
     * @param rateLimits the rate limits that upstreams named
     * @param pauses the pauses that upstreams asked instances for
     * @param sink executes the pools' decisions on requests of this instance
     */
    public Pools(
            Connector connector,
            PoolSettings settings,
            UpstreamDirectory directory,
            PromptQuarantine quarantine,
            RateLimits rateLimits,
            UpstreamPauses pauses,
            Consumer<PoolAction> sink) {
        mConnector = connector;
        mSettings = settings;
        mDirectory = directory;
        mQuarantine = quarantine;
        mRateLimits = rateLimits;
        mPauses = pauses;
        mSink = sink;
    }

    /** Applies a version of the configuration to the existing pools. */
    public void applyConfig(TrafficConfig config) {
        mConfig = Optional.of(config);
        forEachPool((name, pool) -> config.service(name).ifPresent(pool.scheduler()::configure));
    }

    /**
     * Applies a change of the upstream directory and closes connections to upstreams now unusable.
     */
    public void upstreamsChanged(long nowMillis) {
        try {
            forEachPool((name, pool) -> setUpstreams(name, pool.scheduler(), nowMillis));
        } finally {
            closeUnusable();
            tick(nowMillis);
        }
    }

    private void closeUnusable() {
        Map<UpstreamId, ListedUpstream> usable = new HashMap<>();
        mDirectory.usable().forEach(each -> usable.put(each.id(), each));
        mConnections
                .values()
                .removeIf(
                        entry -> {
                            ListedUpstream current = usable.get(entry.upstream().id());
                            boolean stale =
                                    current == null || !current.sameIncarnation(entry.upstream());
                            if (stale) {
                                entry.connections().close();
                            }
                            return stale;
                        });
    }

    /** Runs a step for each pool; a fault in one is passed on after the others had their turn. */
    private void forEachPool(BiConsumer<String, ServicePool> step) {
        List<Throwable> faults = new ArrayList<>();
        Map.copyOf(mPools)
                .forEach(
                        (name, pool) -> {
                            try {
                                step.accept(name, pool);
                            } catch (RuntimeException | Error e) {
                                faults.add(e);
                            }
                        });
        if (!faults.isEmpty()) {
            throw new IllegalStateException(
                    faults.size() + " pools failed, the first by " + faults.get(0), faults.get(0));
        }
    }

    private void setUpstreams(String service, PoolScheduler scheduler, long nowMillis) {
        scheduler.setUpstreams(mDirectory.usable(service), nowMillis);
        scheduler.setAllLeaving(mDirectory.areAllLeaving(service));
    }

    /** Returns the upstreams that stated in responses that they are leaving. */
    public LeavingUpstreams leaving() {
        return mDirectory.leaving();
    }

    /** Records that a response of an upstream stated that it is leaving. */
    void recordLeaving(ListedUpstream upstream, String request, long nowMillis) {
        if (mDirectory.leaving().record(upstream, request, nowMillis)) {
            mDirty = true;
            upstreamsChanged(nowMillis);
        }
    }

    /**
     * Applies what another instance knows of leaving upstreams.
     *
     * @param from the name of the instance
     */
    public void applyLeaving(LeavingUpdate update, String from, long nowMillis) {
        if (mDirectory.leaving().applyUpdate(update, from, nowMillis)) {
            upstreamsChanged(nowMillis);
        }
    }

    /** Returns the failure domains whose upstreams get nothing more. */
    public EvacuatedDomains evacuated() {
        return mDirectory.evacuated();
    }

    /** Returns the number of listed upstreams in a failure domain. */
    long upstreamCount(FailureDomain domain) {
        return mDirectory.countIn(domain);
    }

    /**
     * Applies what another instance knows of evacuated failure domains.
     *
     * @param from the name of the instance
     */
    public void applyEvacuations(EvacuationUpdate update, String from, long nowMillis) {
        if (mDirectory.evacuated().applyUpdate(update, from)) {
            upstreamsChanged(nowMillis);
        }
    }

    /** Returns the upstreams that are cold. */
    public ColdUpstreams cold() {
        return mRateLimits.cold();
    }

    /** Records how much longer an upstream is cold, as its response stated. */
    void recordCold(
            ListedUpstream upstream,
            long leftMillis,
            String request,
            long sentMillis,
            long nowMillis) {
        long changes = cold().changeCount();
        cold().recordResponse(
                        upstream.incarnation(),
                        upstream.service(),
                        leftMillis,
                        request,
                        sentMillis,
                        nowMillis);
        if (cold().changeCount() != changes) {
            rateLimitChanged();
        }
    }

    /**
     * Returns whether a request that was placed at an upstream may still be sent there.
     *
     * @param placedMillis when it was placed
     */
    boolean mayBeSent(ListedUpstream upstream, long placedMillis, long nowMillis) {
        return mDirectory.isUsable(upstream)
                && cold().mayBeSent(upstream.incarnation(), placedMillis, nowMillis)
                && mPauses.remainingMillis(Optional.empty(), upstream.incarnation(), nowMillis)
                        == 0;
    }

    /** Returns the pauses that upstreams asked instances for. */
    public UpstreamPauses pauses() {
        return mPauses;
    }

    /** Sets the part of the fleet for which this instance decides. */
    public void setShare(FleetShare share, long nowMillis) {
        mShare = share;
        forEachPool((name, pool) -> pool.scheduler().setShare(share, nowMillis));
    }

    /** Reports to the dispatcher soon, because a rate limit of an upstream has changed. */
    public void rateLimitChanged() {
        mDirty = true;
        scheduleFlushAndTick();
    }

    /** Submits a request that needs an upstream. */
    public void submit(PoolJob job, long nowMillis) {
        execute(pool(job.service(), nowMillis).submit(job, mRemoteDispatcher.get(), nowMillis));
        scheduleFlushAndTick();
    }

    /** Withdraws a waiting request. */
    public void withdraw(PoolJob job) {
        Optional.ofNullable(mPools.get(job.service())).ifPresent(pool -> pool.withdraw(job));
    }

    /**
     * Records that the response head or an event was received. Only the first changes this
     * instance's use, because it ends the prefill.
     */
    public void recordProgress(PoolJob job, Ticket ticket, long nowMillis) {
        if (pool(job.service(), nowMillis).scheduler().recordEvent(ticket, nowMillis)) {
            mDirty = true;
            scheduleFlushAndTick();
        }
    }

    /** Records the end of an attempt; an absent end stands for a complete response. */
    public void attemptEnded(PoolJob job, Ticket ticket, Optional<AttemptEnd> end, long nowMillis) {
        ServicePool pool = pool(job.service(), nowMillis);
        execute(pool.localActions(pool.scheduler().endAttempt(ticket, end, nowMillis)));
        mDirty = true;
        scheduleFlushAndTick();
    }

    /** Schedules the sending of messages and use changes, and a tick if requests are waiting. */
    private void scheduleFlushAndTick() {
        mScheduleFlush.run();
        if (waitingCount() > 0) {
            mScheduleTick.run();
        }
    }

    /**
     * Resends pending queries, starts waiting requests that fit and refuses those that would be
     * late.
     */
    public void tick(long nowMillis) {
        Optional<InstanceId> dispatcher = mRemoteDispatcher.get();
        try {
            forEachPool((name, pool) -> execute(pool.tick(dispatcher, nowMillis)));
        } finally {
            scheduleFlushAndTick();
        }
    }

    /**
     * Logs queue, shares and estimated load of each model engine service, on the dispatcher only,
     * and the queries that dispatchers did not answer in time.
     */
    public void logLoad(EventLog log, long nowMillis) {
        mPools.forEach((service, pool) -> logUnanswered(service, pool.takeQueryCounts(), log));
        if (mRemoteDispatcher.get().isPresent()) {
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

    private static void logUnanswered(String service, QueryCounts counts, EventLog log) {
        if (!counts.isEmpty()) {
            log.line("pool.unanswered")
                    .with("service", service)
                    .with("decidedLocally", counts.decidedLocally())
                    .with("unusedGrants", counts.unusedGrants())
                    .log();
        }
    }

    /** Closes idle connections that the upstream has closed or is about to close. */
    public void sweep(long nowMillis) {
        mConnections.values().forEach(entry -> entry.connections().sweep(nowMillis));
    }

    /** Returns the number of waiting requests in all pools. */
    public int waitingCount() {
        return mPools.values().stream().mapToInt(ServicePool::waitingCount).sum();
    }

    /** Returns the number of engines that prefill long prompts, as far as this instance knows. */
    public int longPrefills(long nowMillis) {
        return mPools.values().stream()
                .mapToInt(each -> each.scheduler().longPrefills(nowMillis))
                .sum();
    }

    /**
     * Processes a packet from another instance.
     *
     * @param reportIsNew whether the packet holds a report newer than the last one of its sender
     */
    public void receive(InstancePacket packet, boolean reportIsNew, long nowMillis) {
        packet.report()
                .filter(report -> reportIsNew)
                .ifPresent(
                        report -> {
                            for (PoolUse use : report.pools()) {
                                pool(use.service(), nowMillis)
                                        .scheduler()
                                        .updatePeer(report.sender().instance(), use, nowMillis);
                            }
                            packet.acknowledgedGrants()
                                    .forEach(
                                            (service, grant) ->
                                                    pool(service, nowMillis)
                                                            .scheduler()
                                                            .acknowledgeGrants(
                                                                    packet.from(), grant));
                        });
        packet.messages().forEach(each -> receive(packet.from(), each, nowMillis));
        if (reportIsNew) {
            tick(nowMillis);
        } else {
            scheduleFlushAndTick();
        }
    }

    /**
     * Processes a message: a query that this instance decides as the dispatcher, the dispatcher's
     * decision on a request of this instance, or the withdrawal of a query.
     */
    private void receive(InstanceId from, PoolMessage message, long nowMillis) {
        if (message instanceof PoolMessage.Query query) {
            execute(
                    pool(query.job().service(), nowMillis)
                            .receiveQuery(from, query.job(), nowMillis));
        } else if (message instanceof PoolMessage.Reply reply) {
            execute(
                    pool(reply.service(), nowMillis)
                            .receiveDecision(from, reply.decision(), nowMillis));
        } else if (message instanceof PoolMessage.Withdrawal withdrawal) {
            pool(withdrawal.service(), nowMillis)
                    .receiveWithdrawal(from, withdrawal.queryId(), nowMillis);
        }
    }

    /** Returns whether any pool has messages to send. */
    public boolean hasMessages() {
        return mPools.values().stream().anyMatch(ServicePool::hasMessages);
    }

    /** Returns the messages to send and removes them from the outboxes. */
    public List<PoolMessage> takeOutbox() {
        List<PoolMessage> messages = new ArrayList<>();
        mPools.values().forEach(pool -> messages.addAll(pool.takeOutbox()));
        return messages;
    }

    /** Returns whether this instance's use changed since the last {@link #getAndClearDirty}. */
    public boolean isDirty() {
        return mDirty;
    }

    /** Returns whether this instance's use changed since the last call, and clears the flag. */
    public boolean getAndClearDirty() {
        boolean dirty = mDirty;
        mDirty = false;
        return dirty;
    }

    /**
     * Sets the source of the current dispatcher and the scheduling callbacks.
     *
     * @param dispatcher returns the instance that decides for this one; empty if it is this one
     * @param scheduleFlush runs when there may be messages or use changes to send
     * @param scheduleTick runs when a tick is needed soon because requests are waiting
     */
    public void setDispatcher(
            Supplier<Optional<InstanceId>> dispatcher,
            Runnable scheduleFlush,
            Runnable scheduleTick) {
        mRemoteDispatcher = dispatcher;
        mScheduleFlush = scheduleFlush;
        mScheduleTick = scheduleTick;
    }

    /** Returns the pools by service name. */
    public Map<String, ServicePool> pools() {
        return mPools;
    }

    /** Returns the connections to an upstream; an upstream that restarted gets a new set. */
    public ConnectionPool connections(ListedUpstream upstream) {
        UpstreamConnections entry = mConnections.get(upstream.id());
        if (entry == null || !entry.upstream().sameIncarnation(upstream)) {
            AddressPort address = AddressPort.parse(upstream.address());
            entry = new UpstreamConnections(upstream, new ConnectionPool(mConnector, address));
            mConnections.put(upstream.id(), entry);
        }
        return entry.connections();
    }

    /**
     * Checks whether an upstream that lost a connection has crashed: it is not leaving, no
     * connection of this instance to it is open, and it refuses a new one. One that only resets
     * surplus connections accepts it.
     *
     * @param crashed runs if it has crashed
     */
    public void checkCrash(ListedUpstream upstream, LongSupplier clockMillis, Runnable crashed) {
        if (mDirectory.isUsable(upstream)) {
            connections(upstream).checkRefused(clockMillis, crashed);
        }
    }

    private ServicePool pool(String service, long nowMillis) {
        return mPools.computeIfAbsent(
                service,
                name -> {
                    ServiceSpec spec =
                            mConfig.flatMap(config -> config.service(name))
                                    .orElse(new ServiceSpec(name, 0, Optional.empty()));
                    PoolScheduler scheduler =
                            new PoolScheduler(spec, mSettings, mQuarantine, mRateLimits, mPauses);
                    scheduler.setShare(mShare, nowMillis);
                    setUpstreams(name, scheduler, nowMillis);
                    return new ServicePool(name, scheduler);
                });
    }

    private void execute(List<PoolAction> actions) {
        mDirty |= !actions.isEmpty();
        actions.forEach(mSink);
    }

    private record UpstreamConnections(ListedUpstream upstream, ConnectionPool connections) {}
}
