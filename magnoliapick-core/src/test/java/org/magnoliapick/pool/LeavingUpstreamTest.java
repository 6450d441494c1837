package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliapick.lib.InstanceId;

/** Guards against requests to upstreams that stated in a response that they are leaving. */
final class LeavingUpstreamTest {
    /** The time within which all instances have to know, in milliseconds. */
    private static final long KNOWN_MILLIS = 2_000;

    private final List<FakeFleet.Request> mRequests = new ArrayList<>();

    @ParameterizedTest
    @CsvSource({"1,8", "2,8", "3,8", "4,8", "5,8", "6,100", "7,300"})
    void sendsNothingToAnEngineAfterItsStatement(long seed, int instances) {
        FakeFleet fleet = new FakeFleet(instances, Math.min(instances, 100), 8, seed);
        send(fleet, 8_000, 90);
        List<FakeEngine> leaving = leave(fleet, 2_000, 3);
        fleet.runUntil(8_000);
        leaving.forEach(LeavingUpstreamTest::assertNothingAfterStatement);
        assertThat(answeredShare(7_000)).isGreaterThan(0.99);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 100, 300})
    void tellsAllInstances(int instances) {
        FakeFleet fleet = new FakeFleet(instances, Math.min(instances, 100), 8, 1);
        send(fleet, 6_000, 90);
        FakeEngine leaving = leave(fleet, 2_000, 1).get(0);
        fleet.runUntil(2_200 + KNOWN_MILLIS);
        for (int instance = 0; instance < instances; instance++) {
            assertThat(fleet.knowsLeaving(instance, leaving)).isTrue();
        }
        long before = leaving.arrivalMillis().size();
        fleet.runUntil(7_000);
        assertThat(leaving.arrivalMillis()).hasSize((int) before);
    }

    @Test
    void sendsNothingWhileTheDispatcherDoesNotReply() {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        send(fleet, 9_000, 90);
        fleet.at(1_500, () -> fleet.setCut(0, true));
        List<FakeEngine> leaving = leave(fleet, 2_000, 3);
        fleet.at(6_000, () -> fleet.setCut(0, false));
        fleet.runUntil(9_000);
        leaving.forEach(LeavingUpstreamTest::assertNothingAfterStatement);
    }

    @Test
    void refusesAtOnceIfAllEnginesAreLeaving() {
        FakeFleet fleet = new FakeFleet(4, 4, 1);
        send(fleet, 8_000, 40);
        leave(fleet, 2_000, 4);
        fleet.runUntil(4_000);
        FakeFleet.Request request = fleet.send(1, "base");
        fleet.runUntil(4_010);
        assertThat(request.refusal()).contains(PoolCause.NO_UPSTREAM);
        assertThat(request.sentMillis()).isEmpty();
    }

    @Test
    void decidesAgainIfTheDispatcherChoseAnEngineThatIsLeaving() {
        ServicePool pool = new ServicePool("s", Jobs.scheduler("u", "v"));
        PoolJob job = Jobs.job(1, "w", "p", 1_000, 100);
        Optional<InstanceId> dispatcher = Optional.of(new InstanceId("dispatcher"));
        pool.submit(job, dispatcher, 100);
        pool.scheduler().setUpstreams(List.of(Jobs.upstream("v")), 101);
        PoolDecision.Start start =
                new PoolDecision.Start(1, 1, Jobs.upstream("u").id(), 10, 0, PoolCause.ROOM);
        List<PoolAction> actions = pool.receiveDecision(dispatcher.get(), start, 102);
        assertThat(actions).hasSize(1);
        PoolAction.Start again = (PoolAction.Start) actions.get(0);
        assertThat(again.ticket().upstream()).isEqualTo(Jobs.upstream("v"));
        assertThat(again.job()).isEqualTo(job);
    }

    private void send(FakeFleet fleet, long untilMillis, int perSecond) {
        Demand.send(fleet, mRequests, 0, untilMillis, perSecond);
    }

    private static List<FakeEngine> leave(FakeFleet fleet, long atMillis, int count) {
        List<FakeEngine> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(fleet.engine(i));
        }
        fleet.at(atMillis, () -> engines.forEach(FakeEngine::leave));
        return engines;
    }

    private static void assertNothingAfterStatement(FakeEngine engine) {
        assertThat(engine.statedMillis()).isNotEmpty();
        assertThat(engine.arrivals())
                .noneMatch(
                        each ->
                                each.atMillis()
                                        > engine.statedMillis()
                                                .getOrDefault(
                                                        each.request().instance(), Long.MAX_VALUE));
    }

    private double answeredShare(long untilMillis) {
        List<FakeFleet.Request> sent =
                mRequests.stream().filter(each -> each.arrivedMillis() < untilMillis).toList();
        return (double) sent.stream().filter(FakeFleet.Request::isAnswered).count() / sent.size();
    }
}
