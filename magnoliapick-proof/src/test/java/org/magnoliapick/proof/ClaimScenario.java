package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.magnoliapick.request.RequestState;

/** Faults at the steps of a claim's life. */
final class ClaimScenario implements FaultScenario {
    /** Where a claim stands. */
    enum ClaimStep {
        /** Waits for the append that is under way to end. */
        COLLECTED,
        /** Its append is under way. */
        APPENDING,
        /** It is in the log and not yet read back. */
        APPENDED,
        /** It was read back as the first of its key. */
        WON,
        /** Its outcome is in the log. */
        ENDED
    }

    private static final int MAX_EVENTS = 50;

    @Override
    public void check(Enum<?> step, List<Fault> faults) {
        RouterWorld world = new RouterWorld(false);
        FakeRouter router = world.first();
        if (step == ClaimStep.COLLECTED) {
            router.call(FakeCall.Kind.KEYED, "other", RouterWorld.DEADLINE_MILLIS);
            router.deliverAll();
        }
        FakeCall call = router.call(FakeCall.Kind.KEYED, "key", RouterWorld.DEADLINE_MILLIS);
        drive(world, call, (ClaimStep) step);
        RequestScenario.strike(world, FakeCall.Kind.KEYED, faults);
    }

    private static void drive(RouterWorld world, FakeCall call, ClaimStep step) {
        FakeRouter router = world.first();
        router.deliverAll();
        assertThat(router.hasAppendsWaiting()).isTrue();
        if (step.compareTo(ClaimStep.APPENDED) >= 0) {
            router.appendAll();
            assertThat(world.mLog.end()).isEqualTo(1);
        }
        if (step.compareTo(ClaimStep.WON) >= 0) {
            driveTo(router, call, RequestState.QUEUED);
        }
        if (step == ClaimStep.ENDED) {
            driveTo(router, call, RequestState.WHOLE);
            world.run(1_000);
            assertThat(world.mLog.end()).isEqualTo(2);
        }
    }

    private static void driveTo(FakeRouter router, FakeCall call, RequestState state) {
        for (int i = 0; i < MAX_EVENTS && call.mMachine.state() != state; i++) {
            if (!router.deliverOne()) {
                router.readLog();
            }
        }
        assertThat(call.mMachine.state()).isEqualTo(state);
    }
}
