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
import org.magnoliapick.gateway.internal.peer.PeerSocket;
import org.magnoliapick.gateway.internal.relay.Pools;
import org.magnoliapick.gateway.internal.relay.RelayContext;
import org.magnoliapick.gateway.internal.relay.Relays;
import org.magnoliapick.gateway.internal.store.StoreReader;
import org.magnoliapick.member.StoreUpdate;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.relay.FleetRetryBudget;
import org.magnoliapick.relay.StopPlan;
import org.magnoliapick.route.TrafficConfig;

/** A gateway process: one event loop that reads, decides and writes. */
public final class Gateway {
    /** Requests that may wait for an upstream at one instance. */
    private static final int MAX_WAITING = 512;

    /** Among how many instances the fleet's retry slack is divided at least. */
    private static final int BUDGET_INSTANCES = 12;

    /** How often waiting requests are looked at, in milliseconds. */
    private static final long POOL_TICK_MILLIS = 10;

    /** How often it is looked whether other instances are to be told, in milliseconds. */
    private static final long PEER_TICK_MILLIS = 50;

    /** How often silent streams and idle connections are looked for, in milliseconds. */
    private static final long SWEEP_MILLIS = 200;

    /** How often a dispatcher logs what it believes of the load, in milliseconds. */
    private static final long LOAD_LOG_MILLIS = 1_000;

    /** How often the settings file is looked at, in milliseconds. */
    private static final long SETTINGS_MILLIS = 2_000;

    private final GatewaySettings mSettings;
    private final EventLog mLog;
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
    private Optional<StoreReader> mStoreReading = Optional.empty();
    private final Connector mConnector = new Connector(mGroup);
    private final Dialect mDialect;
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private int mCallerPort;
    private int mReadinessPort;
    private boolean mPoolTickDue;
    private long mLoadLoggedMillis;
    private volatile long mStopMillis;
    private Optional<StopPlan> mStopPlan = Optional.empty();

    /** Creates a gateway that is not started. */
    public Gateway(
            GatewaySettings settings, Dialect dialect, EventLog log, LongSupplier clockMillis) {
        mSettings = settings;
        mDialect = dialect;
        mLog = log;
        mClockMillis = clockMillis;
        mStopMillis = settings.stopGraceMillis();
        mContext =
                new RelayContext(
                        mLoop, settings.domain(), clockMillis, dialect, budget(settings), log);
        mRelays = new Relays(mContext);
        mPools =
                new Pools(
                        mConnector,
                        new PoolSettings(settings.shareWindowMillis(), MAX_WAITING),
                        mDirectory,
                        mRelays::execute);
        mRelays.setPools(mPools);
        mCallers = new CallerServer(mGroup, mRelays, log, clockMillis);
        mStoreRelay =
                new StoreRelay(settings.bounds().leavingMillis(), settings.bounds().configMillis());
        mPeers =
                new PeerSocket(
                        mGroup, settings, mPools, log, clockMillis, mStoreRelay, this::heardNews);
        mPools.setDispatcher(mPeers::remoteDispatcher, mPeers::scheduleFlush, this::poolTickSoon);
    }

    /**
     * Starts everything.
     *
     * @throws InterruptedException if interrupted before the addresses were bound
     */
    public void start() throws InterruptedException {
        mCallerPort = mCallers.listen(mSettings.callerAddress());
        mReadinessPort =
                new ControlServer(mGroup, Map.of(mSettings.readinessPath(), this::readiness))
                        .listen(mSettings.readinessAddress());
        new ControlServer(mGroup, Map.of("/metrics", this::metrics)).listen(mSettings.controlAddress());
        mPeers.listen();
        mLoop.execute(this::follow);
        mLoop.scheduleWithFixedDelay(
                this::peerTick, PEER_TICK_MILLIS, PEER_TICK_MILLIS, TimeUnit.MILLISECONDS);
        mLoop.scheduleWithFixedDelay(
                this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        mLog.line("instance.started")
                .with("instance", mSettings.instance())
                .with("domain", mSettings.domain())
                .log();
    }

    /** Returns the port where callers connect. */
    int callerPort() {
        return mCallerPort;
    }

    /** Returns the port where the balancer asks. */
    int readinessPort() {
        return mReadinessPort;
    }

    private void follow() {
        StoreReader reading =
                new StoreReader(
                        mSettings,
                        mLoop,
                        mConnector,
                        mDialect,
                        mLog,
                        mClockMillis,
                        mDirectory,
                        mStoreRelay,
                        () -> mPeers.remoteDispatcher().isEmpty());
        reading.start(
                this::configured, () -> mPools.upstreamsChanged(mClockMillis.getAsLong()), mPeers::sendStoreUpdate);
        mStoreReading = Optional.of(reading);
    }

    private void heardNews(StoreUpdate news) {
        mStoreReading.ifPresent(reading -> reading.applyUpdate(news));
    }

    private void configured(TrafficConfig config) {
        mContext.applyConfig(config);
        mPools.applyConfig(config);
        mCallers.setLimits(config.limits());
    }

    private ControlServer.Page readiness() {
        boolean ready = mStopPlan.isEmpty() && mContext.config().isPresent();
        return new ControlServer.Page(ready, ready ? "ready\n" : "not ready\n");
    }

    private ControlServer.Page metrics() {
        StringBuilder text = new StringBuilder();
        mContext.counters().write(text);
        return new ControlServer.Page(true, text.toString());
    }

    /** An idle instance has no tick: each wake-up costs it processor time. */
    private void poolTickSoon() {
        if (!mPoolTickDue) {
            mPoolTickDue = true;
            mLoop.schedule(this::poolTick, POOL_TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void poolTick() {
        mPoolTickDue = false;
        guarded("pool.tick", () -> mPools.tick(mClockMillis.getAsLong()));
    }

    private void peerTick() {
        guarded(
                "peers",
                () -> {
                    mPeers.tick(mClockMillis.getAsLong());
                    mContext.setInstances(mPeers.liveCount() + 1);
                });
    }

    private void sweep() {
        guarded(
                "sweep",
                () -> {
                    long nowMillis = mClockMillis.getAsLong();
                    if (mDirectory.removeLapsed(nowMillis)) {
                        mPools.upstreamsChanged(nowMillis);
                    }
                    mRelays.tick(nowMillis);
                    if (nowMillis - mLoadLoggedMillis >= LOAD_LOG_MILLIS) {
                        mLoadLoggedMillis = nowMillis;
                        mPools.logLoad(mLog, nowMillis);
                    }
                    mPools.sweep(nowMillis);
                    mCallers.sweep(nowMillis);
                    stopStep(nowMillis);
                });
    }

    /** Runs a repeated step; a fault in one run is logged and does not end the others. */
    private void guarded(String name, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            mLog.line("step.fault").with("step", name).with("fault", e).log();
        }
    }

    /** Runs a step on the event loop. */
    void run(Runnable step) {
        mLoop.execute(() -> guarded("signal", step));
    }

    /** Runs a step on the event loop now and then, for as long as the process lives. */
    void repeat(Runnable step) {
        mLoop.scheduleWithFixedDelay(
                () -> guarded("settings", step),
                SETTINGS_MILLIS,
                SETTINGS_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Takes over settings that can change while the process runs. */
    void settingsChanged(GatewaySettings settings) {
        mContext.setBudget(budget(settings));
        mStopMillis = settings.stopGraceMillis();
    }

    private static FleetRetryBudget budget(GatewaySettings settings) {
        GatewaySettings.RetryBudget budget = settings.retryBudget();
        return new FleetRetryBudget(
                budget.ratio(), budget.slack(), budget.windowMillis(), BUDGET_INSTANCES);
    }

    /** Stops gracefully; returns once nothing is under way or the time for it is over. */
    public void stop() throws InterruptedException {
        mLoop.execute(
                () -> {
                    StopPlan plan = new StopPlan(mClockMillis.getAsLong(), mStopMillis);
                    mStopPlan = Optional.of(plan);
                    mCallers.startDraining();
                    mRelays.setStopPlan(plan);
                    mPeers.beginStop();
                    mLog.line("instance.stopping").with("underWay", mRelays.inFlight()).log();
                });
        mStopped.await(mStopMillis, TimeUnit.MILLISECONDS);
        mLog.line("instance.stopped").with("underWay", mRelays.inFlight()).log();
    }

    private void stopStep(long nowMillis) {
        if (mStopPlan.isEmpty()) {
            return;
        }
        StopPlan plan = mStopPlan.get();
        if (!plan.acceptsRequests(nowMillis)) {
            mCallers.closeWhenIdle();
        }
        boolean idle = mCallers.isClosing() && mCallers.connectionCount() == 0;
        if (idle || plan.mustClose(nowMillis)) {
            mStopped.countDown();
        }
    }
}
