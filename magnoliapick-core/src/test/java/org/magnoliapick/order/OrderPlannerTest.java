package org.magnoliapick.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;

final class OrderPlannerTest {
    private static final FailureDomain DOMAIN = new FailureDomain("seeb");
    private static final PoolId POOL = new PoolId(DOMAIN, "lettering");
    private static final InstanceId SELF = new InstanceId("r1");
    private static final String OLD = "lettering@1";
    private static final String NEW = "lettering@2";
    private static final long OFFSET = 41;
    private static final long SIZE_BYTES = 10_000_000;
    private static final long RATE_BYTES = 1_000_000;
    private static final DesiredState DESIRED =
            new DesiredState(POOL, NEW, Set.of(), Optional.empty(), OFFSET);

    private final OrderPlanner mPlanner = new OrderPlanner(SELF);
    private long mNow;

    @Test
    void newlyResponsibleInstanceWaitsForTheTakeoverDelay() {
        assertThat(plan(engine("a", OLD)).step()).isEqualTo(OrderStep.SETTLING);

        mNow = OrderPlanner.TAKEOVER_DELAY_MILLIS;

        assertThat(plan(engine("a", OLD)).step()).isEqualTo(OrderStep.ORDERING);
    }

    @Test
    void onlyOneOfTwoInstancesIsResponsible() {
        FleetView view = view(List.of("r1", "r2"), List.of("a"));
        long responsible =
                Stream.of("r1", "r2")
                        .map(name -> new OrderPlanner(new InstanceId(name)))
                        .filter(
                                each ->
                                        each.plan(DESIRED, List.of(), context(view), 0).step()
                                                == OrderStep.SETTLING)
                        .count();
        assertThat(responsible).isEqualTo(1);
    }

    @Test
    void orderCarriesTheOffsetOfItsSettingAndExpires() {
        passTakeoverDelay();

        assertThat(plan(engine("a", OLD)).actions())
                .containsExactly(
                        new OrderAction.SendOrder(
                                new UpstreamId("a"),
                                OrderKind.LOAD_MODEL,
                                NEW,
                                OFFSET,
                                mNow + OrderPlanner.MAX_STATE_AGE_MILLIS));
    }

    @Test
    void staleReportIsReadAgainBeforeAnyOrder() {
        passTakeoverDelay();
        EngineState report = engine("a", OLD);
        mNow += OrderPlanner.MAX_STATE_AGE_MILLIS + 1;

        assertThat(plan(report).actions())
                .containsExactly(new OrderAction.ReadState(new UpstreamId("a")));
    }

    @Test
    void noOrderIsSentWhileTheLogIsUnavailable() {
        passTakeoverDelay();
        long configReadAtMillis = mNow - OrderPlanner.MAX_CONFIG_AGE_MILLIS - 1;
        OrderContext context =
                new OrderContext(
                        view(List.of("r1"), List.of("a")),
                        configReadAtMillis,
                        Optional.of(RATE_BYTES),
                        Map.of(NEW, SIZE_BYTES),
                        1);

        PoolPlan plan = mPlanner.plan(DESIRED, List.of(engine("a", OLD)), context, mNow);

        assertThat(plan.step()).isEqualTo(OrderStep.WAITING);
    }

    @Test
    void newerFencingNumberAtAnEngineStopsAnOutdatedInstance() {
        passTakeoverDelay();
        EngineState fenced =
                new EngineState(new UpstreamId("a"), Set.of(OLD), Set.of(), "", OFFSET + 1, mNow);

        assertThat(plan(fenced).step()).isEqualTo(OrderStep.OUTDATED);
    }

    @Test
    void nextLoadWaitsForTheThroughputOfTheWeightStore() {
        passTakeoverDelay();
        sendNextOrder(engine("a", OLD), engine("b", OLD));
        mNow += SIZE_BYTES * 1_000 / RATE_BYTES - 1;
        assertThat(plan(engine("a", NEW, OLD), engine("b", OLD)).step())
                .isEqualTo(OrderStep.WAITING);

        mNow++;

        assertThat(sendNextOrder(engine("a", NEW, OLD), engine("b", OLD)).upstream())
                .isEqualTo(new UpstreamId("b"));
    }

    @Test
    void nextOrderToAnEngineWaitsForTheMinimumInterval() {
        passTakeoverDelay();
        sendNextOrder(engine("a", OLD));
        mNow += OrderPlanner.MIN_ORDER_INTERVAL_MILLIS - 1;
        assertThat(plan(engine("a", NEW, OLD)).step()).isEqualTo(OrderStep.WAITING);

        mNow++;

        assertThat(sendNextOrder(engine("a", NEW, OLD)).kind()).isEqualTo(OrderKind.UNLOAD_MODEL);
    }

    @Test
    void lastCopyIsNotUnloadedBeforeEveryEngineHasTheDesiredVersion() {
        passTakeoverDelay();
        // Engine b lacks the desired version, and its load cannot start because the throughput of
        // the weight store is unknown.
        OrderContext slow =
                new OrderContext(
                        view(List.of("r1"), List.of("a", "b")),
                        mNow,
                        Optional.empty(),
                        Map.of(),
                        1);

        PoolPlan plan =
                mPlanner.plan(DESIRED, List.of(engine("a", NEW, OLD), engine("b")), slow, mNow);

        assertThat(plan.step()).isEqualTo(OrderStep.WAITING);
    }

    @Test
    void copyOrderedToBeUnloadedDoesNotCountAsACopy() {
        passTakeoverDelay();
        EngineState third = engine("c");
        OrderAction.SendOrder first =
                nextOrderWithoutRate(engine("a", NEW, OLD), engine("b", NEW, OLD), third);
        assertThat(first.kind()).isEqualTo(OrderKind.UNLOAD_MODEL);
        mPlanner.orderEnded(POOL, first.upstream(), OrderOutcome.UNKNOWN, mNow);
        mNow++;

        PoolPlan plan = planWithoutRate(engine("a", NEW, OLD), engine("b", NEW, OLD), engine("c"));

        assertThat(plan.step()).isEqualTo(OrderStep.WAITING);
    }

    @Test
    void reportFromBeforeTheEndOfAnOrderIsReadAgain() {
        passTakeoverDelay();
        EngineState before = engine("a", OLD);
        assertThat(plan(before).step()).isEqualTo(OrderStep.ORDERING);
        mPlanner.orderEnded(POOL, new UpstreamId("a"), OrderOutcome.ACCEPTED, mNow);

        assertThat(plan(before).step()).isEqualTo(OrderStep.READING);
    }

    @Test
    void modelsOfOtherPoolsAreNotUnloaded() {
        passTakeoverDelay();

        assertThat(plan(engine("a", NEW, "gift-writer@1")).step()).isEqualTo(OrderStep.IN_FORCE);
    }

    private void passTakeoverDelay() {
        plan(engine("a", OLD));
        mNow = OrderPlanner.TAKEOVER_DELAY_MILLIS;
    }

    private OrderAction.SendOrder sendNextOrder(EngineState... engines) {
        PoolPlan plan = plan(engines);
        OrderAction.SendOrder order = (OrderAction.SendOrder) plan.actions().get(0);
        mPlanner.orderEnded(POOL, order.upstream(), OrderOutcome.ACCEPTED, mNow);
        return order;
    }

    private OrderAction.SendOrder nextOrderWithoutRate(EngineState... engines) {
        return (OrderAction.SendOrder) planWithoutRate(engines).actions().get(0);
    }

    private PoolPlan plan(EngineState... engines) {
        return plan(Optional.of(RATE_BYTES), engines);
    }

    private PoolPlan planWithoutRate(EngineState... engines) {
        return plan(Optional.empty(), engines);
    }

    private PoolPlan plan(Optional<Long> rateBytes, EngineState... engines) {
        List<EngineState> reports = List.of(engines);
        List<String> names = reports.stream().map(each -> each.upstream().value()).toList();
        OrderContext context =
                new OrderContext(
                        view(List.of("r1"), names), mNow, rateBytes, Map.of(NEW, SIZE_BYTES), 1);
        return mPlanner.plan(DESIRED, reports, context, mNow);
    }

    private static OrderContext context(FleetView view) {
        return new OrderContext(view, 0, Optional.of(RATE_BYTES), Map.of(), 1);
    }

    private EngineState engine(String name, String... models) {
        return new EngineState(new UpstreamId(name), Set.of(models), Set.of(), "", -1, mNow);
    }

    private static FleetView view(List<String> routers, List<String> upstreams) {
        List<RouterMember> members = new ArrayList<>();
        for (String name : routers) {
            members.add(
                    new RouterMember(
                            new InstanceId(name), 1, DOMAIN, "127.0.0.1", 1, MemberState.LIVE));
        }
        List<UpstreamMember> engines = new ArrayList<>();
        for (String name : upstreams) {
            engines.add(
                    new UpstreamMember(
                            new UpstreamId(name),
                            DOMAIN,
                            TargetKind.MODEL,
                            Set.of("lettering"),
                            "127.0.0.1",
                            1,
                            MemberState.LIVE));
        }
        return new FleetView(members, engines);
    }
}
