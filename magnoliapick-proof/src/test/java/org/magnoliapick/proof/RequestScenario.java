package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.magnoliapick.request.RequestState;

/** Faults at the steps of a request's life, for each kind of request. */
final class RequestScenario implements FaultScenario {
    private static final long FAULT_MILLIS = 3_000;
    private static final long UNTIL_ENDED_MILLIS = 40_000;
    private static final long RETRY_DEADLINE_MILLIS = 10_000;
    private static final int CALLER_RETRIES = 3;
    private static final int MAX_EVENTS = 50;

    @Override
    public void check(Enum<?> step, List<Fault> faults) {
        int reached = 0;
        for (FakeCall.Kind kind : FakeCall.Kind.values()) {
            reached += check(kind, (RequestState) step, faults, true) ? 1 : 0;
            reached += check(kind, (RequestState) step, faults, false) ? 1 : 0;
        }
        assertThat(reached).as("kinds that pass " + step).isPositive();
    }

    private static boolean check(
            FakeCall.Kind kind, RequestState step, List<Fault> faults, boolean timersFirst) {
        RouterWorld world = new RouterWorld(timersFirst);
        FakeCall call = world.first().call(kind, "key", RouterWorld.DEADLINE_MILLIS);
        if (!driveTo(world, call, step)) {
            return false;
        }
        strike(world, kind, faults);
        return true;
    }

    private static boolean driveTo(RouterWorld world, FakeCall call, RequestState step) {
        if (step == RequestState.FAILED) {
            driveTo(world, call, RequestState.QUEUED);
            world.mNowMillis = RouterWorld.DEADLINE_MILLIS;
            world.mFlooded = true;
        }
        for (int i = 0; i < MAX_EVENTS && call.mMachine.state() != step; i++) {
            if (!world.first().deliverOne()) {
                world.first().appendAll();
                world.first().readLog();
            }
        }
        return call.mMachine.state() == step;
    }

    /** Strikes, with an impatient caller that sends its request again through another router. */
    static void strike(RouterWorld world, FakeCall.Kind kind, List<Fault> faults) {
        for (Fault fault : faults) {
            world.strike(fault);
            callAgain(world, kind);
            world.run(FAULT_MILLIS);
        }
        world.heal();
        world.run(UNTIL_ENDED_MILLIS);
        for (int i = 0; i < CALLER_RETRIES; i++) {
            callAgain(world, kind);
            world.run(UNTIL_ENDED_MILLIS);
        }
        RequestPromises.check(world);
        if (kind == FakeCall.Kind.KEYED && !faults.contains(Fault.RESTART)) {
            // Only a holder that died without a word may leave a key taken and not run.
            assertThat(world.mRunsByKey).as("a key is not blocked").containsEntry("key", 1);
        }
    }

    private static void callAgain(RouterWorld world, FakeCall.Kind kind) {
        if (kind == FakeCall.Kind.KEYED) {
            long deadlineMillis = world.mNowMillis + RETRY_DEADLINE_MILLIS;
            world.second().call(kind, "key", deadlineMillis);
        }
    }
}
