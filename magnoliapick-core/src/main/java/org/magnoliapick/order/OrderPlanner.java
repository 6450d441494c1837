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
 * Decides the orders to the engines of the pools that fall to this instance. At most one order is
 * under way in a pool.
 *
 * <p>Engines that check the fencing number refuse whoever follows an older setting. For engines
 * that do not, damage is bounded: an order is based on a fresh report and on settings that were
 * fresh at that time, is only valid for a moment, comes rarely to one engine, and never drops the
 * last copy in the pool before every engine holds what is wanted. A copy whose drop was ordered a
 * short while ago does not count as one.
 */
public final class OrderPlanner {
    /** The time between becoming the orderer of a pool and its first order, in milliseconds. */
    public static final long TAKEOVER_DELAY_MILLIS = 10_000;

    /** The oldest report that an order is based on, in milliseconds. */
    public static final long MAX_STATE_AGE_MILLIS = 2_000;

    /** The longest time since the configuration was known to be current, in milliseconds. */
    public static final long MAX_CONFIG_AGE_MILLIS = 10_000;

    /** The least time between two orders to one engine, in milliseconds. */
    public static final long MIN_ORDER_INTERVAL_MILLIS = 15_000;

    /** The time after which an order without an answer no longer holds up the pool. */
    public static final long ORDER_TIMEOUT_MILLIS = 120_000;

    private static final String DUTY = "orders";

    private final InstanceId mSelf;
    private final Map<PoolId, PoolState> mPools = new HashMap<>();
    private final Map<UpstreamId, Long> mLastOrderAtMillis = new HashMap<>();

    /** Creates the planner of an instance. */
    public OrderPlanner(InstanceId self) {
        mSelf = self;
    }

    /** Decides what to do for a pool now. */
    public PoolPlan plan(
            DesiredState wanted, List<EngineState> reports, OrderContext context, long nowMillis) {
        if (!isOrderer(wanted.pool(), context)) {
            mPools.remove(wanted.pool());
            return PoolPlan.of(OrderStep.WATCHING);
        }
        PoolState pool = mPools.computeIfAbsent(wanted.pool(), id -> new PoolState(nowMillis));
        if (nowMillis - pool.mOrdererSinceMillis < TAKEOVER_DELAY_MILLIS) {
            return PoolPlan.of(OrderStep.SETTLING);
        }
        if (reports.stream().anyMatch(each -> each.fencingNumber() > wanted.offset())) {
            return PoolPlan.of(OrderStep.OUTDATED);
        }
        if (nowMillis - context.configCurrentAtMillis() > MAX_CONFIG_AGE_MILLIS
                || pool.isBusy(nowMillis)) {
            return PoolPlan.of(OrderStep.WAITING);
        }
        pool.mDrops.removeIf(drop -> nowMillis - drop.atMillis() >= ORDER_TIMEOUT_MILLIS);
        Set<Change> drops =
                pool.mDrops.stream().map(Drop::change).collect(Collectors.toUnmodifiableSet());
        PoolReports pending = new PoolReports(wanted, context.view(), reports, drops);
        return planFresh(pending, context, nowMillis);
    }

    private boolean isOrderer(PoolId pool, OrderContext context) {
        return Rendezvous.choose(context.view(), pool, DUTY).filter(mSelf::equals).isPresent();
    }

    private PoolPlan planFresh(PoolReports reports, OrderContext context, long nowMillis) {
        PoolState pool = mPools.get(reports.wanted().pool());
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
                Optional<PoolPlan> plan = order(reports, change.get(), context, nowMillis);
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

    private Optional<PoolPlan> order(
            PoolReports reports, Change change, OrderContext context, long nowMillis) {
        PoolState pool = mPools.get(reports.wanted().pool());
        if (change.kind().readsWeights()) {
            Optional<Long> loadMillis = context.loadMillis(change.subject());
            if (loadMillis.isEmpty() || nowMillis < pool.mWeightsFreeAtMillis) {
                return Optional.empty();
            }
            pool.mWeightsFreeAtMillis = nowMillis + loadMillis.get();
        }
        if (change.kind().unloads()) {
            pool.mDrops.add(new Drop(change, nowMillis));
        }
        pool.mUnderWay = Optional.of(change.upstream());
        pool.mOrderedAtMillis = nowMillis;
        mLastOrderAtMillis.put(change.upstream(), nowMillis);
        OrderAction order =
                new OrderAction.SendOrder(
                        change.upstream(),
                        change.kind(),
                        change.subject(),
                        reports.wanted().offset(),
                        nowMillis + MAX_STATE_AGE_MILLIS);
        return Optional.of(new PoolPlan(OrderStep.ORDERING, List.of(order)));
    }

    /** Takes note of the end of the order that is under way at an engine. */
    public void orderEnded(PoolId pool, UpstreamId upstream, OrderOutcome end, long nowMillis) {
        PoolState state = mPools.get(pool);
        if (state == null || state.mUnderWay.filter(upstream::equals).isEmpty()) {
            return;
        }
        state.mUnderWay = Optional.empty();
        state.mReportsValidFromMillis = nowMillis + 1;
        if (!end.mayTakeEffect()) {
            state.mDrops.removeIf(drop -> drop.isLatestOf(upstream, state.mOrderedAtMillis));
        }
    }

    /** An order that the reports call for. */
    record Change(UpstreamId upstream, OrderKind kind, String subject) {}

    /** A drop that was ordered and may take effect at any time. */
    private record Drop(Change change, long atMillis) {
        boolean isLatestOf(UpstreamId upstream, long orderedAtMillis) {
            return change.upstream().equals(upstream) && atMillis == orderedAtMillis;
        }
    }

    /** What an orderer remembers of a pool. */
    private static final class PoolState {
        private final long mOrdererSinceMillis;
        private final List<Drop> mDrops = new ArrayList<>();
        private Optional<UpstreamId> mUnderWay = Optional.empty();
        private long mOrderedAtMillis;
        private long mWeightsFreeAtMillis;
        private long mReportsValidFromMillis;

        PoolState(long nowMillis) {
            mOrdererSinceMillis = nowMillis;
        }

        boolean isBusy(long nowMillis) {
            return mUnderWay.isPresent() && nowMillis - mOrderedAtMillis < ORDER_TIMEOUT_MILLIS;
        }
    }
}
