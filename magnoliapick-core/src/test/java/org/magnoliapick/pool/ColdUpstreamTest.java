package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliapick.route.ServiceSpec;

/**
 * Guards against a fleet that sends cold upstreams more requests in any one second than they
 * tolerate, or much less than they could serve.
 */
final class ColdUpstreamTest {
    private static final double PER_SECOND = 12;
    private static final long COLD_MILLIS = 3_000;
    private static final double OVERAGE = 1.5;
    private static final double SLACK = 5;

    /** The part of the rate that has to be used while work waits. */
    private static final double MIN_USE = 0.8;

    /** How late a cut is noticed: the time without messages after which a peer is unreachable. */
    private static final long NOTICE_MILLIS = 2_000;

    private final List<FakeFleet.Request> mRequests = new ArrayList<>();

    /** A failure domain returns under load: all of its upstreams start at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void sendsStartingUpstreamsWhatTheyTolerate(long seed) {
        FakeFleet fleet = fleet(12, 12, 4, seed);
        send(fleet, 10_000, 600);
        List<FakeEngine> cold = start(fleet, 3_000, 30);
        fleet.runUntil(10_000);
        assertKept(cold, 3_000, 6_000);
        assertUsed(cold, 3_000, 6_000, MIN_USE);
        // They are used without a limit when they are warm.
        assertThat(total(cold, 7_000, 8_000)).isGreaterThan(30 * PER_SECOND * 1.2);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void keepsTheRateWhenTheDispatcherIsLost(long seed) {
        FakeFleet fleet = fleet(60, 60, 0, seed);
        send(fleet, 12_000, 900);
        List<FakeEngine> cold = start(fleet, 3_000, 30);
        extend(fleet, cold, 6_000);
        fleet.at(5_000, () -> fleet.setCut(0, true));
        fleet.at(8_000, () -> fleet.setCut(0, false));
        fleet.runUntil(12_000);
        assertKept(cold, 3_000, 9_000);
        assertUsed(cold, 3_000, 9_000, MIN_USE);
    }

    /** The restarted dispatcher does not know what was granted before. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void keepsTheRateWhenTheDispatcherRestarts(long seed) {
        FakeFleet fleet = fleet(12, 12, 4, seed);
        send(fleet, 10_000, 600);
        List<FakeEngine> cold = start(fleet, 3_000, 30);
        fleet.at(4_000, () -> fleet.restart(0));
        fleet.at(5_000, () -> fleet.restart(0));
        fleet.runUntil(10_000);
        assertKept(cold, 3_000, 6_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void keepsTheRateWhileTheFleetIsCut(long seed) {
        FakeFleet fleet = fleet(20, 20, 0, seed);
        send(fleet, 12_000, 900);
        List<FakeEngine> cold = start(fleet, 3_000, 30);
        extend(fleet, cold, 6_000);
        for (int i = 1; i <= 10; i++) {
            int instance = i;
            fleet.at(4_500, () -> fleet.setCut(instance, true));
            fleet.at(8_000, () -> fleet.setCut(instance, false));
        }
        fleet.runUntil(12_000);
        assertKept(cold, 3_000, 9_000);
        assertUsed(cold, 3_000, 9_000, MIN_USE);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 4, 20})
    void keepsTheRateWithSeveralDispatchers(int cells) {
        FakeFleet fleet = fleet(60, 60 / cells, 4, cells);
        send(fleet, 10_000, 900);
        List<FakeEngine> cold = start(fleet, 3_000, 30);
        fleet.runUntil(10_000);
        assertKept(cold, 3_000, 6_000);
        assertUsed(cold, 3_000, 6_000, MIN_USE);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void keepsTheRateWhenMessagesAreLostDoubledAndReordered(long seed) {
        FakeFleet fleet = fleet(30, 30, 4, seed);
        fleet.network().setUnreliable();
        send(fleet, 10_000, 700);
        List<FakeEngine> cold = start(fleet, 3_000, 30);
        fleet.runUntil(10_000);
        assertKept(cold, 3_000, 6_000);
        assertUsed(cold, 3_000, 6_000, MIN_USE);
    }

    /** What was sent just before the state became known counts too. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void sendsNothingMoreWhereTooMuchWasSentBeforeTheStateWasKnown(long seed) {
        FakeFleet fleet = fleet(12, 12, 10, seed);
        send(fleet, 10_000, 400);
        List<FakeEngine> cold = new ArrayList<>();
        fleet.at(
                4_000,
                () -> {
                    for (int i = 0; i < 5; i++) {
                        fleet.engine(i).setCold(4_000 + COLD_MILLIS);
                        cold.add(fleet.engine(i));
                    }
                });
        fleet.runUntil(10_000);
        // The first response takes 40 ms, the reports of all instances 100 ms each.
        long knownMillis = 4_350;
        assertThat(total(cold, 3_000, 4_000)).isGreaterThan(5 * bound());
        for (FakeEngine engine : cold) {
            engine.arrivalMillis().stream()
                    .filter(each -> each > knownMillis && each < 7_000)
                    .forEach(
                            each ->
                                    assertThat(arrivals(engine, each - 999, each + 1))
                                            .as("second before %d ms", each)
                                            .isLessThanOrEqualTo(bound()));
        }
        assertUsed(cold, 5_400, 7_000, MIN_USE);
    }

    /** A service without a cold state is served as before. */
    @Test
    void limitsNothingWithoutAColdState() {
        FakeFleet fleet = new FakeFleet(12, 12, 4, 1);
        send(fleet, 6_000, 600);
        List<FakeEngine> started = start(fleet, 3_000, 10);
        fleet.runUntil(6_000);
        assertThat(total(started, 3_000, 4_000)).isGreaterThan(10 * bound());
    }

    private static FakeFleet fleet(int instances, int cellSize, int engines, long seed) {
        ServiceSpec service = Jobs.coldService(COLD_MILLIS, PER_SECOND);
        return new FakeFleet(instances, cellSize, engines, seed, service, NOTICE_MILLIS);
    }

    private static List<FakeEngine> start(FakeFleet fleet, long atMillis, int engines) {
        List<FakeEngine> started = new ArrayList<>();
        fleet.at(atMillis, () -> started.addAll(fleet.startEngines(engines, COLD_MILLIS)));
        return started;
    }

    /** Lets upstreams become cold again before they are warm. */
    private static void extend(FakeFleet fleet, List<FakeEngine> engines, long atMillis) {
        long leftMillis = COLD_MILLIS + 1_000;
        fleet.at(
                atMillis - 1_000,
                () -> {
                    engines.forEach(each -> each.setCold(fleet.nowMillis() + leftMillis));
                    fleet.knowledge()
                            .forEach(
                                    each ->
                                            each.readColdStates(
                                                    engines, leftMillis, fleet.nowMillis()));
                });
    }

    private void send(FakeFleet fleet, long untilMillis, int perSecond) {
        Demand.send(fleet, mRequests, 0, untilMillis, perSecond);
    }

    private static double bound() {
        return PER_SECOND * OVERAGE + SLACK;
    }

    private static void assertKept(List<FakeEngine> engines, long fromMillis, long untilMillis) {
        assertThat(engines).isNotEmpty();
        double most = 0;
        for (FakeEngine engine : engines) {
            for (long from = fromMillis; from + 1_000 <= untilMillis; from += 10) {
                most = Math.max(most, arrivals(engine, from, from + 1_000));
            }
        }
        assertThat(most).isLessThanOrEqualTo(bound());
    }

    private static void assertUsed(
            List<FakeEngine> engines, long fromMillis, long untilMillis, double part) {
        double possible = PER_SECOND * (untilMillis - fromMillis) / 1_000;
        assertThat(total(engines, fromMillis, untilMillis))
                .isGreaterThanOrEqualTo(part * possible * engines.size());
    }

    private static double total(List<FakeEngine> engines, long fromMillis, long untilMillis) {
        return engines.stream().mapToDouble(each -> arrivals(each, fromMillis, untilMillis)).sum();
    }

    private static double arrivals(FakeEngine engine, long fromMillis, long untilMillis) {
        return engine.arrivalMillis().stream()
                .filter(millis -> millis >= fromMillis && millis < untilMillis)
                .count();
    }
}
