package org.magnoliapick.bench.driver;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.magnoliapick.bench.scenario.Load;
import org.magnoliapick.bench.scenario.UpstreamGroup;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.share.QueuedRequest;

class FakeUpstreamTest {
    private final EventQueue mEvents = new EventQueue();
    private final List<String> mHeard = new ArrayList<>();
    private final FakeUpstream mEngine = engine(2, 10_000, 5_000);

    @Test
    void stepTakesLongerTheLargerTheBatch() {
        mEngine.offer(execution("alone", 10));
        mEvents.runUntil(1_000_000);
        mEngine.offer(execution("left", 10));
        mEngine.offer(execution("right", 10));
        mEvents.runUntil(2_000_000);

        // 10 steps of 15 ms alone, then 10 steps of 20 ms together.
        assertThat(mHeard)
                .containsExactly(
                        "started alone 0",
                        "whole alone 150000",
                        "started left 1000000",
                        "started right 1000000",
                        "whole left 1200000",
                        "whole right 1200000");
    }

    @Test
    void whatDoesNotFitWaitsInsideInOrderOfArrival() {
        mEngine.offer(execution("a", 10));
        mEngine.offer(execution("b", 20));
        mEngine.offer(execution("c", 10));

        assertThat(mEngine.report().running()).isEqualTo(2);
        assertThat(mEngine.report().waiting()).isEqualTo(1);
        mEvents.runUntil(1_000_000);
        assertThat(mHeard.indexOf("started c 200000")).isGreaterThan(0);
    }

    @Test
    void cancelledRequestFreesItsSlotAndKeepsWhatItUsed() {
        Execution cancelled = execution("a", 100);
        mEngine.offer(cancelled);
        mEvents.runUntil(150_000);

        mEngine.cancel(cancelled);

        assertThat(cancelled.mUsedUnits).isEqualTo(10);
        assertThat(mEngine.report().running()).isZero();
    }

    @Test
    void slotsKeepTheWantedTimeBetweenTokens() {
        assertThat(engine(64, 10_000, 1_000).slots()).isEqualTo(30);
        assertThat(engine(16, 10_000, 1_000).slots()).isEqualTo(16);
    }

    @Test
    void lostUpstreamForgetsEverything() {
        mEngine.offer(execution("a", 100));
        mEngine.offer(execution("b", 100));
        mEngine.offer(execution("c", 100));

        assertThat(mEngine.stop()).hasSize(3);
        assertThat(mEngine.report().running()).isZero();
        assertThat(mEngine.report().waiting()).isZero();
    }

    private FakeUpstream engine(int slots, long baseMicros, long perRequestMicros) {
        UpstreamGroup group =
                new UpstreamGroup(
                        "e", TargetKind.MODEL, "m", "d", 1, slots, baseMicros, perRequestMicros);
        FakeUpstream.Listener listener =
                new FakeUpstream.Listener() {
                    @Override
                    public void started(Execution execution) {
                        hear("started", execution);
                    }

                    @Override
                    public void left(Execution execution, boolean whole) {
                        hear(whole ? "whole" : "cut", execution);
                    }
                };
        return new FakeUpstream(new UpstreamId("e"), group, mEvents, listener);
    }

    private void hear(String what, Execution execution) {
        mHeard.add(what + " " + execution.mRequest.mQueued.id() + " " + mEvents.nowMicros());
    }

    private Execution execution(String name, double costUnits) {
        Flow flow = new Flow(0, new WorkspaceId("w"), "g", "m", 0, 1);
        Load load = new Load("m", RequestClass.STANDARD, 1, 0, null, null, 0, List.of(), null);
        RouterSlot router = new RouterSlot(new InstanceId("r"), "d", 0);
        Caller caller =
                new Caller(flow, load, List.of(router), List.of(router), new SplittableRandom(1));
        QueuedRequest queued =
                new QueuedRequest(
                        new RequestId(name),
                        flow.workspace(),
                        "m",
                        TargetKind.MODEL,
                        RequestClass.STANDARD,
                        OptionalDouble.empty(),
                        0,
                        List.of(),
                        Optional.empty(),
                        Set.of());
        return new Execution(new BenchRequest(caller, 0, costUnits, 0, router, queued), mEngine);
    }
}
