package org.magnoliapick.gateway.internal;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.internal.caller.CallerServer;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.http.ControlServer;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.FaultGuard;
import org.magnoliapick.gateway.internal.peer.PeerSocket;
import org.magnoliapick.gateway.internal.peer.StorePeers;
import org.magnoliapick.gateway.internal.relay.Pools;
import org.magnoliapick.gateway.internal.relay.RelayContext;
import org.magnoliapick.gateway.internal.relay.RelayCounters;
import org.magnoliapick.gateway.internal.relay.Relays;
import org.magnoliapick.gateway.internal.store.StoreReader;
import org.magnoliapick.member.StorePosition;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.member.StoreUpdate;
import org.magnoliapick.memory.CallerMemory;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.quarantine.SuspectKey;
import org.magnoliapick.relay.FleetRetryBudget;
import org.magnoliapick.relay.StopPlan;
import org.magnoliapick.route.TrafficConfig;

/** The components of a gateway and their wiring; all of them run on one event loop. */
public final class Gateway {
    /** The maximum number of requests that wait for an upstream at this instance. */
    private static final int MAX_WAITING_REQUESTS = 512;

    /** The minimum number of instances among which the fleet's retry slack is divided. */
    private static final int MIN_BUDGET_INSTANCES = 12;

    /** The delay until waiting requests are evaluated again, in milliseconds. */
    private static final long POOL_TICK_DELAY_MILLIS = 10;

    /** The interval of checks for stalled streams and idle connections, in milliseconds. */
    private static final long SWEEP_INTERVAL_MILLIS = 200;

    /** The interval at which a dispatcher logs its load estimates, in milliseconds. */
    private static final long LOAD_LOG_INTERVAL_MILLIS = 1_000;

    /** The interval of checks for a changed settings file, in milliseconds. */
    private static final long SETTINGS_CHECK_INTERVAL_MILLIS = 2_000;

    private final GatewaySettings mSettings;
    private final EventLog mLog;
    private final FaultGuard mGuard;
    private final LongSupplier mClockMillis;
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoop mLoop = mGroup.next();
    private final RelayContext mContext;
    private final Relays mRelays;
    private final Pools mPools;
    private final UpstreamDirectory mDirectory = new UpstreamDirectory();
    private final CallerServer mCallers;
    private final PeerSocket mPeers;
    private final StoreRelay mStoreRelay;
    private Optional<StoreReader> mStoreReader = Optional.empty();
    private final Connector mConnector = new Connector(mGroup);
    private final Dialect mDialect;
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private int mCallerPort;
    private int mReadinessPort;
    private boolean mPoolTickScheduled;
    private long mLoadLoggedMillis;
    private volatile long mStopGraceMillis;
    private Optional<StopPlan> mStopPlan = Optional.empty();

    /** Whether the requests in flight were ended because the time to stop has come. */
    private boolean mRequestsEnded;

    /** Creates a gateway that is not started. */
    public Gateway(
            GatewaySettings settings, Dialect dialect, EventLog log, LongSupplier clockMillis) {
        mSettings = settings;
        mDialect = dialect;
        mLog = log;
        mGuard = new FaultGuard(log);
        mClockMillis = clockMillis;
        mStopGraceMillis = settings.stopGraceMillis();
        mContext =
                new RelayContext(
                        mLoop, settings.domain(), clockMillis, dialect, budget(settings), log);
        mContext.admission().setEnabled(settings.admission());
        mRelays = new Relays(mContext);
        mPools =
                new Pools(
                        mConnector,
                        new PoolSettings(
                                settings.shareWindowMillis(),
                                MAX_WAITING_REQUESTS,
                                settings.bounds().cold(),
                                settings.promptClasses()),
                        mDirectory,
                        mContext.quarantine(),
                        mContext.rateLimits(),
                        mContext.pauses(),
                        mRelays::execute);
        mRelays.setPools(mPools);
        mRelays.setStartingBehind(this::isStartingBehind);
        mCallers =
                new CallerServer(
                        mGroup,
                        mRelays,
                        log,
                        clockMillis,
                        CallerMemory.forHeap(Runtime.getRuntime().maxMemory()));
        mCallers.setMaxDescriptors(settings.maxDescriptors());
        mStoreRelay =
                new StoreRelay(
                        settings.bounds().leavingMillis(), settings.bounds().configTopicMillis());
        mPeers =
                new PeerSocket(
                        mGroup,
                        settings,
                        mPools,
                        log,
                        clockMillis,
                        mStoreRelay,
                        mContext.quarantine(),
                        mContext.rateLimits(),
                        new StorePeersOfReader());
        mPools.setDispatcher(
                mPeers::remoteDispatcher, mPeers::scheduleFlush, this::schedulePoolTick);
    }

    /**
     * Binds all addresses and starts reading the store and the periodic tasks.
     *
     * @throws InterruptedException if interrupted before the addresses were bound
     */
    public void start() throws InterruptedException {
        mCallerPort = mCallers.listen(mSettings.callerAddress());
        mReadinessPort =
                new ControlServer(mGroup, Map.of(mSettings.readinessPath(), this::readiness))
                        .listen(mSettings.readinessAddress());
        new ControlServer(mGroup, Map.of("/metrics", this::metrics))
                .listen(mSettings.controlAddress());
        mPeers.listen();
        runOnEventLoop("store.start", this::startStoreReading);
        mLoop.scheduleWithFixedDelay(
                () -> mGuard.run("peers.tick", this::peerTick),
                PeerSocket.TICK_INTERVAL_MILLIS,
                PeerSocket.TICK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        mLoop.scheduleWithFixedDelay(
                () -> mGuard.run("sweep", this::sweep),
                SWEEP_INTERVAL_MILLIS,
                SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        mLog.line("instance.started")
                .with("instance", mSettings.instance())
                .with("domain", mSettings.domain())
                .log();
    }

    /** Returns the port for callers. */
    int callerPort() {
        return mCallerPort;
    }

    /** Returns the port for readiness checks by the balancer. */
    int readinessPort() {
        return mReadinessPort;
    }

    private void startStoreReading() {
        StoreReader reader =
                new StoreReader(
                        mSettings,
                        mLoop,
                        mConnector,
                        mDialect,
                        mLog,
                        mClockMillis,
                        mDirectory,
                        mContext.rateLimits().cold(),
                        mStoreRelay,
                        () -> mPeers.remoteDispatcher().isEmpty());
        reader.start(
                this::applyConfig,
                () ->
                        mGuard.run(
                                "upstreams",
                                () -> mPools.upstreamsChanged(mClockMillis.getAsLong())),
                () -> mGuard.run("store.update", mPeers::sendStoreUpdate));
        mStoreReader = Optional.of(reader);
    }

    /** Passes what other instances know of the store on to the reader, once it is started. */
    private final class StorePeersOfReader implements StorePeers {
        @Override
        public void positionReported(StorePosition position) {
            mStoreReader.ifPresent(reader -> reader.positionReported(position));
        }

        @Override
        public void updateReceived(StoreUpdate update) {
            mStoreReader.ifPresent(reader -> reader.applyUpdate(update));
        }
    }

    private void applyConfig(TrafficConfig config) {
        mContext.applyConfig(config);
        mCallers.setLimits(config.limits());
        mGuard.run("config.pools", () -> mPools.applyConfig(config));
    }

    private boolean isStartingBehind() {
        return mStoreRelay.isStartingBehind(mClockMillis.getAsLong());
    }

    private ControlServer.Page readiness() {
        boolean ready =
                mStopPlan.isEmpty()
                        && mContext.config().isPresent()
                        && !isStartingBehind()
                        && mContext.admission().isReady();
        return new ControlServer.Page(ready, ready ? "ready\n" : "not ready\n");
    }

    private ControlServer.Page metrics() {
        StringBuilder text = new StringBuilder();
        mContext.counters().write(text);
        PromptQuarantine quarantine = mContext.quarantine();
        for (SuspectKey.Kind kind : SuspectKey.Kind.values()) {
            String name = "magnoliapick_" + kind.metricName();
            RelayCounters.appendMetric(text, name + "_suspected", quarantine.suspectedCount(kind));
            RelayCounters.appendMetric(
                    text,
                    name + "_quarantined",
                    quarantine.quarantinedCount(kind, mClockMillis.getAsLong()));
        }
        RelayCounters.appendMetric(
                text, "magnoliapick_upstreams_rate_limited", mContext.rateLimits().limitedCount());
        RelayCounters.appendMetric(
                text,
                "magnoliapick_engines_with_long_prefill",
                mPools.longPrefills(mClockMillis.getAsLong()));
        mRelays.statements().writeMetrics(text);
        mContext.admission().writeMetrics(text);
        mCallers.writeMetrics(text);
        return new ControlServer.Page(true, text.toString());
    }

    /**
     * Schedules a pool tick unless one is scheduled. An idle instance runs no pool ticks, because
     * each wake-up costs processor time.
     */
    private void schedulePoolTick() {
        if (!mPoolTickScheduled) {
            mPoolTickScheduled = true;
            mLoop.schedule(this::poolTick, POOL_TICK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void poolTick() {
        mPoolTickScheduled = false;
        mGuard.run("pool.tick", () -> mPools.tick(mClockMillis.getAsLong()));
    }

    private void peerTick() {
        long nowMillis = mClockMillis.getAsLong();
        mGuard.run("peers", () -> mPeers.tick(nowMillis));
        mGuard.run("pool.share", () -> mPools.setShare(mPeers.share(), nowMillis));
        mGuard.run("quarantine", () -> mRelays.quarantineTick(nowMillis));
        mGuard.run("rate-limits", () -> mRelays.rateLimitTick(nowMillis));
        mGuard.run("statements", () -> mRelays.statements().tick(nowMillis));
        // The retry budget is divided among all live instances, this one included.
        mGuard.run("fleet-size", () -> mContext.updateFleetSize(mPeers.liveCount() + 1));
    }

    private void sweep() {
        long nowMillis = mClockMillis.getAsLong();
        mGuard.run("directory", () -> removeLapsed(nowMillis));
        mGuard.run("relays", () -> mRelays.tick(nowMillis));
        mGuard.run("admission", () -> mContext.admission().tick(nowMillis));
        mGuard.run("pool.load", () -> logLoad(nowMillis));
        mGuard.run("pool.sweep", () -> mPools.sweep(nowMillis));
        mGuard.run("callers", () -> mCallers.sweep(nowMillis));
        mGuard.run("stop", () -> advanceStop(nowMillis));
    }

    private void removeLapsed(long nowMillis) {
        if (mDirectory.removeLapsed(nowMillis)) {
            mPools.upstreamsChanged(nowMillis);
        }
    }

    private void logLoad(long nowMillis) {
        if (nowMillis - mLoadLoggedMillis >= LOAD_LOG_INTERVAL_MILLIS) {
            mLoadLoggedMillis = nowMillis;
            mPools.logLoad(mLog, nowMillis);
        }
    }

    /** Runs a step on the event loop. */
    void runOnEventLoop(String name, Runnable step) {
        mLoop.execute(() -> mGuard.run(name, step));
    }

    /** Runs a step on the event loop at the interval of settings checks. */
    void runPeriodically(Runnable step) {
        mLoop.scheduleWithFixedDelay(
                () -> mGuard.run("settings", step),
                SETTINGS_CHECK_INTERVAL_MILLIS,
                SETTINGS_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Applies the settings that can change at runtime: the retry budget, the grace time and whether
     * requests are rejected early.
     */
    void applySettings(GatewaySettings settings) {
        mContext.setBudget(budget(settings));
        mStopGraceMillis = settings.stopGraceMillis();
        mContext.admission().setEnabled(settings.admission());
    }

    private static FleetRetryBudget budget(GatewaySettings settings) {
        GatewaySettings.RetryBudget budget = settings.retryBudget();
        return new FleetRetryBudget(
                budget.ratio(), budget.slack(), budget.windowMillis(), MIN_BUDGET_INSTANCES);
    }

    /** Stops gracefully; returns once no caller is connected or the grace time has passed. */
    public void stop() throws InterruptedException {
        runOnEventLoop(
                "stop.begin",
                () -> {
                    StopPlan plan = new StopPlan(mClockMillis.getAsLong(), mStopGraceMillis);
                    mStopPlan = Optional.of(plan);
                    mCallers.startDraining();
                    mRelays.setStopPlan(plan);
                    mPeers.beginStop();
                    mLog.line("instance.stopping").with("underWay", mRelays.inFlight()).log();
                });
        mStopped.await(mStopGraceMillis, TimeUnit.MILLISECONDS);
        mLog.line("instance.stopped").with("underWay", mRelays.inFlight()).log();
    }

    /** Ends the event loop at once, so that nothing is read from the store any more. */
    void endEventLoop() {
        mGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Returns whether the event loop has ended. */
    boolean isEventLoopEnded() {
        return mLoop.isShuttingDown();
    }

    /**
     * Closes connections once the stop plan accepts no more requests, and lets {@link #stop} return
     * when none is left. When the plan's time to close the rest has come, ends the requests in
     * flight first, and lets it return at the next sweep, when their answers are written.
     */
    private void advanceStop(long nowMillis) {
        if (mStopPlan.isEmpty()) {
            return;
        }
        StopPlan plan = mStopPlan.get();
        if (!plan.acceptsRequests(nowMillis)) {
            mCallers.closeWhenIdle();
        }
        boolean idle = mCallers.isClosing() && mCallers.connectionCount() == 0;
        if (idle || mRequestsEnded) {
            mStopped.countDown();
        } else if (plan.mustClose(nowMillis)) {
            mRequestsEnded = true;
            mRelays.endAll();
        }
    }
}
