package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.order.OrderStep;

/** Faults at the steps of the orders to a pool, with engines that check fencing and without. */
final class OrderScenario implements FaultScenario {
    private static final long FAULT_MILLIS = 20_000;
    private static final long UNTIL_SETTLED_MILLIS = 600_000;
    private static final int MAX_TURNS = 2_000;

    @Override
    public void check(Enum<?> step, List<Fault> faults) {
        check((OrderStep) step, faults, true);
        if (step != OrderStep.OUTDATED) {
            // Engines that keep no fencing number cannot show a newer one.
            check((OrderStep) step, faults, false);
        }
    }

    private static void check(OrderStep step, List<Fault> faults, boolean checksFencing) {
        OrderWorld world = new OrderWorld(checksFencing);
        OrderWorld.Router router = driveTo(world, step);
        for (Fault fault : faults) {
            strike(world, router, fault);
            if (!router.mPaused) {
                router.sendUnsent();
            }
            world.turnFor(FAULT_MILLIS);
            if (router.mPaused) {
                wakeUp(router);
            }
        }
        heal(world);
        world.turnFor(UNTIL_SETTLED_MILLIS);
        for (FakeEngine engine : world.mEngines) {
            engine.assertHoldsOnly(world.mSetting.version());
        }
    }

    /** Drives the pool until a router stands at the step, and returns that router. */
    private static OrderWorld.Router driveTo(OrderWorld world, OrderStep step) {
        if (step == OrderStep.ORDERING) {
            world.mRouters.forEach(OrderWorld.Router::holdOrders);
        }
        if (step == OrderStep.OUTDATED) {
            driveTo(world, OrderStep.IN_FORCE);
            outdate(world);
        }
        for (int i = 0; i < MAX_TURNS; i++) {
            world.turn();
            Optional<OrderWorld.Router> there =
                    world.mRouters.stream().filter(each -> each.mStep == step).findFirst();
            if (there.isPresent()) {
                world.mRouters.forEach(OrderWorld.Router::releaseOrders);
                return there.get();
            }
        }
        throw new AssertionError("No router reaches " + step);
    }

    /** An engine has taken an order of a setting that no router here has read yet. */
    private static void outdate(OrderWorld world) {
        world.mLogOut = true;
        world.changeSetting();
        long offset = world.mSetting.offset();
        world.mEngines.get(0).raiseFencing(offset);
        world.mEngines.get(1).raiseFencing(offset);
    }

    private static void strike(OrderWorld world, OrderWorld.Router router, Fault fault) {
        FakeEngine engine = world.mEngines.get(0);
        switch (fault) {
            case PARTITION -> router.mCutOff = true;
            case RESTART -> router.restart();
            case LOG_OUT, LOG_SLOW, APPEND_ANSWER_LOST -> world.mLogOut = true;
            case ANSWER_LOST -> engine.mLosesAnswers = true;
            case PAUSE -> pause(world, router);
            case OPERATORS_RACE -> {
                world.changeSetting();
                world.changeSetting();
            }
            case UPSTREAM_LEAVES -> world.mListed.put(new UpstreamId("a"), MemberState.LEAVING);
            case UPSTREAM_DIES -> engine.mDead = true;
            case LIST_LOST -> world.mListLost = true;
            default -> throw new AssertionError("No cell for " + fault);
        }
    }

    /** The router stops before it sends its order; the setting changes meanwhile. */
    private static void pause(OrderWorld world, OrderWorld.Router router) {
        router.mPaused = true;
        world.changeSetting();
    }

    /** The router goes on where it stopped, without looking at the time. */
    private static void wakeUp(OrderWorld.Router router) {
        router.mPaused = false;
        router.sendUnsent();
    }

    private static void heal(OrderWorld world) {
        world.mLogOut = false;
        world.mListLost = false;
        for (FakeEngine engine : world.mEngines) {
            engine.mDead = false;
            engine.mLosesAnswers = false;
            world.mListed.put(engine.mId, MemberState.LIVE);
        }
        for (OrderWorld.Router router : world.mRouters) {
            router.mCutOff = false;
            router.mPaused = false;
        }
        assertThat(world.mEngines).anyMatch(FakeEngine::servesSomething);
    }
}
