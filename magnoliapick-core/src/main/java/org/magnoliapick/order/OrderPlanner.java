package org.magnoliapick.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.Rendezvous;

/**
 * Plans the orders to the engines of the pools that this instance is responsible for. At most one
 * order is in flight in a pool.
 *
 * <p>Engines that check the fencing number reject orders that follow an older setting. For engines
 * that do not, the following rules limit the damage of a wrong order. An order requires a recent
 * report and a recent configuration, expires after {@link #MAX_STATE_AGE_MILLIS}, and follows the
 * previous order to the same engine after {@link #MIN_ORDER_INTERVAL_MILLIS} at the earliest. The
 * last copy in the pool is never unloaded before every engine has the desired state. A copy that
 * was ordered to be unloaded within {@link #ORDER_TIMEOUT_MILLIS} does not count as a copy.
 */
public final class OrderPlanner {
    /**
     * The delay of the first order after this instance became responsible for a pool, in
     * milliseconds; until then the fleet may not agree on the responsible instance.
     */
    public static final long TAKEOVER_DELAY_MILLIS = 10_000;

    /** The maximum age of a report that an order is based on, in milliseconds. */
    public static final long MAX_STATE_AGE_MILLIS = 2_000;

    /** The maximum time since the configuration was known to be current, in milliseconds. */
    public static final long MAX_CONFIG_AGE_MILLIS = 10_000;

    /** The minimum interval between two orders to one engine, in milliseconds. */
    public static final long MIN_ORDER_INTERVAL_MILLIS = 15_000;

    /**
     * The time after which an order without a response no longer blocks the pool, in milliseconds.
     */
    public static final long ORDER_TIMEOUT_MILLIS = 120_000;

    private static final String RESPONSIBILITY = "orders";

    private final InstanceId mSelf;
    private final Map<PoolId, PoolState> mPools = new HashMap<>();
    private final Map<UpstreamId, Long> mLastOrderAtMillis = new HashMap<>();

    /** Creates the planner of an instance. */
    public OrderPlanner(InstanceId self) {
        mSelf = self;
    }

    /** Returns the current step of a pool and the actions to execute. */
    public PoolPlan plan(
            DesiredState desired, List<EngineState> reports, OrderContext context, long nowMillis) {
        if (!isResponsible(desired.pool(), context)) {
            mPools.remove(desired.pool());
            return PoolPlan.of(OrderStep.WATCHING);
        }
        PoolState pool = mPools.computeIfAbsent(desired.pool(), id -> new PoolState(nowMillis));
        if (nowMillis - pool.mResponsibleSinceMillis < TAKEOVER_DELAY_MILLIS) {
            return PoolPlan.of(OrderStep.SETTLING);
        }
        if (reports.stream().anyMatch(report -> report.fencingNumber() > desired.offset())) {
            return PoolPlan.of(OrderStep.OUTDATED);
        }
        if (nowMillis - context.configCurrentAtMillis() > MAX_CONFIG_AGE_MILLIS
                || pool.isBusy(nowMillis)) {
            return PoolPlan.of(OrderStep.WAITING);
        }
        pool.mUnloads.removeIf(unload -> nowMillis - unload.atMillis() >= ORDER_TIMEOUT_MILLIS);
        Set<Change> unloads =
                pool.mUnloads.stream().map(Unload::change).collect(Collectors.toUnmodifiableSet());
        PoolReports poolReports = new PoolReports(desired, context.view(), reports, unloads);
        return planChanges(poolReports, context, nowMillis);
    }

    private boolean isResponsible(PoolId pool, OrderContext context) {
        return Rendezvous.choose(context.view(), pool, RESPONSIBILITY)
                .filter(mSelf::equals)
                .isPresent();
    }

    private PoolPlan planChanges(PoolReports reports, OrderContext context, long nowMillis) {
        PoolState pool = mPools.get(reports.desired().pool());
        long notBeforeMillis =
                Math.max(nowMillis - MAX_STATE_AGE_MILLIS, pool.mReportsValidFromMillis);
        List<OrderAction> reads =
                reports.staleUpstreams(notBeforeMillis).stream()
                        .<OrderAction>map(OrderAction.ReadState::new)
                        .toList();
        if (!reads.isEmpty()) {
            return new PoolPlan(OrderStep.READING, reads);
        }
        boolean pending = false;
        for (EngineState engine : reports.engines()) {
            Optional<Change> change = reports.nextChange(engine);
            pending |= change.isPresent();
            if (change.isPresent() && isDue(engine.upstream(), nowMillis)) {
                Optional<PoolPlan> plan = orderChange(reports, change.get(), context, nowMillis);
                if (plan.isPresent()) {
                    return plan.get();
                }
            }
        }
        return PoolPlan.of(pending ? OrderStep.WAITING : OrderStep.IN_FORCE);
    }

    private boolean isDue(UpstreamId upstream, long nowMillis) {
        Long last = mLastOrderAtMillis.get(upstream);
        return last == null || nowMillis - last >= MIN_ORDER_INTERVAL_MILLIS;
    }

    private Optional<PoolPlan> orderChange(
            PoolReports reports, Change change, OrderContext context, long nowMillis) {
        PoolState pool = mPools.get(reports.desired().pool());
        if (change.kind().readsWeights()) {
            Optional<Long> loadMillis = context.loadMillis(change.subject());
            if (loadMillis.isEmpty() || nowMillis < pool.mWeightsFreeAtMillis) {
                return Optional.empty();
            }
            pool.mWeightsFreeAtMillis = nowMillis + loadMillis.get();
        }
        if (change.kind().unloads()) {
            pool.mUnloads.add(new Unload(change, nowMillis));
        }
        pool.mInFlight = Optional.of(change.upstream());
        pool.mOrderedAtMillis = nowMillis;
        mLastOrderAtMillis.put(change.upstream(), nowMillis);
        OrderAction order =
                new OrderAction.SendOrder(
                        change.upstream(),
                        change.kind(),
                        change.subject(),
                        reports.desired().offset(),
                        nowMillis + MAX_STATE_AGE_MILLIS);
        return Optional.of(new PoolPlan(OrderStep.ORDERING, List.of(order)));
    }

    /** Handles the outcome of the order that is in flight at an engine. */
    public void orderEnded(PoolId pool, UpstreamId upstream, OrderOutcome outcome, long nowMillis) {
        PoolState state = mPools.get(pool);
        if (state == null || state.mInFlight.filter(upstream::equals).isEmpty()) {
            return;
        }
        state.mInFlight = Optional.empty();
        state.mReportsValidFromMillis = nowMillis + 1;
        if (!outcome.mayTakeEffect()) {
            state.mUnloads.removeIf(unload -> unload.isLatestOf(upstream, state.mOrderedAtMillis));
        }
    }

    /** An order that brings an engine closer to the desired state. */
    record Change(UpstreamId upstream, OrderKind kind, String subject) {}

    /** An unload that was ordered and may take effect at any time. */
    private record Unload(Change change, long atMillis) {
        boolean isLatestOf(UpstreamId upstream, long orderedAtMillis) {
            return change.upstream().equals(upstream) && atMillis == orderedAtMillis;
        }
    }

    /** The state of a pool that this instance is responsible for. */
    private static final class PoolState {
        private final long mResponsibleSinceMillis;
        private final List<Unload> mUnloads = new ArrayList<>();
        private Optional<UpstreamId> mInFlight = Optional.empty();
        private long mOrderedAtMillis;

        /** When the last load is expected to end; until then no other load is ordered. */
        private long mWeightsFreeAtMillis;

        /** Reports that were requested earlier may not show the effect of the last order. */
        private long mReportsValidFromMillis;

        PoolState(long nowMillis) {
            mResponsibleSinceMillis = nowMillis;
        }

        boolean isBusy(long nowMillis) {
            return mInFlight.isPresent() && nowMillis - mOrderedAtMillis < ORDER_TIMEOUT_MILLIS;
        }
    }
}
