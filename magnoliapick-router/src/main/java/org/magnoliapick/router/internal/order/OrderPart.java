package org.magnoliapick.router.internal.order;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.order.DesiredState;
import org.magnoliapick.order.EngineState;
import org.magnoliapick.order.OrderAction;
import org.magnoliapick.order.OrderContext;
import org.magnoliapick.order.OrderOutcome;
import org.magnoliapick.order.OrderPlanner;
import org.magnoliapick.order.PoolPlan;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.ModelEngine;
import org.magnoliapick.record.Cause;
import org.magnoliapick.record.DecisionRecord;
import org.magnoliapick.record.Step;
import org.magnoliapick.router.internal.RouterIdentity;
import org.magnoliapick.router.internal.config.ConfigPart;
import org.magnoliapick.router.internal.member.ViewListener;
import org.magnoliapick.router.internal.supervisor.Part;

/** Reconciles what the engines of the own failure domain hold with the settings. */
@Singleton
public final class OrderPart implements Part, ViewListener {
    private static final Logger LOG = System.getLogger(OrderPart.class.getName());
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long PERIOD_MILLIS = 1_000;

    private final RouterIdentity mSelf;
    private final OrderPlanner mPlanner;
    private final ModelEngine mEngines;
    private final Weights mWeights;
    private final ConfigPart mConfigPart;
    private final Consumer<DecisionRecord> mRecords;
    private final InstantSource mClock;
    private final Map<UpstreamId, EngineState> mReports = new HashMap<>();
    private volatile FleetView mView = FleetView.EMPTY;
    private volatile FleetConfig mConfig = FleetConfig.EMPTY;

    @Inject
    OrderPart(
            RouterIdentity self,
            ModelEngine engines,
            Weights weights,
            ConfigPart configPart,
            Consumer<DecisionRecord> records,
            InstantSource clock) {
        mSelf = self;
        mPlanner = new OrderPlanner(self.id());
        mEngines = engines;
        mWeights = weights;
        mConfigPart = configPart;
        mRecords = records;
        mClock = clock;
    }

    @Override
    public String name() {
        return "orders";
    }

    @Override
    public void viewChanged(FleetView view) {
        mView = view;
    }

    /** Takes a new configuration. */
    public void configChanged(FleetConfig config) {
        mConfig = config;
    }

    @Override
    public void step() throws InterruptedException {
        List<DesiredState> wanted = WantedOrders.of(mConfig, mSelf.domain());
        int pools = wanted.size() * Math.max(1, domains());
        for (DesiredState order : wanted) {
            plan(order, pools);
        }
        Thread.sleep(PERIOD_MILLIS);
    }

    private int domains() {
        return (int) mView.routers().stream().map(RouterMember::domain).distinct().count();
    }

    private void plan(DesiredState wanted, int pools) {
        OrderContext context =
                new OrderContext(
                        mView,
                        mConfigPart.readAtMillis(),
                        mWeights.rateBytesPerSecond(),
                        mWeights.sizesOf(wanted),
                        pools);
        PoolPlan plan =
                mPlanner.plan(wanted, List.copyOf(mReports.values()), context, mClock.millis());
        for (OrderAction action : plan.actions()) {
            perform(wanted.pool(), action);
        }
    }

    private void perform(PoolId pool, OrderAction action) {
        if (action instanceof OrderAction.ReadState read) {
            endpoint(read.upstream()).ifPresent(endpoint -> read(read.upstream(), endpoint));
        } else if (action instanceof OrderAction.SendOrder order) {
            OrderOutcome end =
                    endpoint(order.upstream())
                            .map(endpoint -> give(order, endpoint))
                            .orElse(OrderOutcome.REFUSED);
            mPlanner.orderEnded(pool, order.upstream(), end, mClock.millis());
        }
    }

    private void read(UpstreamId upstream, Endpoint endpoint) {
        long askedAtMillis = mClock.millis();
        mEngines.loaded(endpoint, TIMEOUT)
                .ifPresent(
                        loaded ->
                                mReports.put(
                                        upstream,
                                        new EngineState(
                                                upstream,
                                                Set.copyOf(loaded.models()),
                                                Set.copyOf(loaded.adapters()),
                                                loaded.role(),
                                                loaded.fencingNumber(),
                                                askedAtMillis)));
    }

    private OrderOutcome give(OrderAction.SendOrder order, Endpoint endpoint) {
        long nowMillis = mClock.millis();
        if (nowMillis >= order.validUntilMillis()) {
            LOG.log(Level.WARNING, "[order] Held back an order that is no longer valid.");
            return OrderOutcome.REFUSED;
        }
        ModelEngine.EngineOrder.Kind kind =
                ModelEngine.EngineOrder.Kind.valueOf(order.kind().name());
        ModelEngine.OrderResult result =
                mEngines.order(
                        endpoint,
                        new ModelEngine.EngineOrder(kind, order.subject(), order.fencingNumber()),
                        TIMEOUT);
        LOG.log(
                Level.INFO,
                "[order] {0} {1} at {2}: {3}.",
                order.kind(),
                order.subject(),
                order.upstream(),
                result);
        record(order, nowMillis);
        return OrderOutcome.valueOf(result.name());
    }

    private void record(OrderAction.SendOrder order, long nowMillis) {
        mRecords.accept(
                new DecisionRecord(
                        nowMillis,
                        Step.ORDER,
                        Cause.ORDER,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of(order.upstream()),
                        Optional.empty(),
                        Map.of("fencingNumber", (double) order.fencingNumber())));
    }

    private Optional<Endpoint> endpoint(UpstreamId upstream) {
        return mView.upstreams().stream()
                .filter(member -> member.id().equals(upstream))
                .map(OrderPart::endpointOf)
                .findFirst();
    }

    private static Endpoint endpointOf(UpstreamMember member) {
        return new Endpoint(member.host(), member.port());
    }
}
