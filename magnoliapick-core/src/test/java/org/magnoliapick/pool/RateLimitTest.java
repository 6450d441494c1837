package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.RateLimit;
import org.magnoliapick.limit.RateLimits;

/** Guards against a fleet that exceeds the rate limits which upstreams name. */
final class RateLimitTest {
    /** The time after which a limit has to be kept, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long WINDOW_MILLIS = 4_000;

    /** How far a limit may be exceeded in a window: a factor and a number of requests. */
    private static final double MAX_FACTOR = 1.5;

    private static final int MAX_SURPLUS = 5;

    /** The part of a limit that has to be used while the demand exceeds it. */
    private static final double MIN_USE = 0.85;

    private final List<FakeFleet.Request> mRequests = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void keepsAndUsesTheLimitsOfSomeEngines(long seed) {
        FakeFleet fleet = new FakeFleet(8, 8, seed);
        send(fleet, 0, 30_000, 75);
        limit(fleet, 6_000, 6, 5.2);
        limit(fleet, 25_000, 6, Double.NaN);
        fleet.runUntil(30_000);
        for (int engine = 0; engine < 6; engine++) {
            assertKept(fleet, engine, 5.2, 6_000, 25_000);
            assertThat(arrivals(fleet, engine, 9_000, 25_000)).isGreaterThan(5.2 * 16 * MIN_USE);
            // After the end of the limit the engine gets its part again.
            assertThat(arrivals(fleet, engine, 27_000, 30_000)).isGreaterThan(5.2 * 3);
        }
        assertThat(answeredShare()).isGreaterThan(0.95);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void keepsLimitsThatChange(long seed) {
        FakeFleet fleet = new FakeFleet(8, 8, seed);
        send(fleet, 0, 40_000, 90);
        limit(fleet, 4_000, 3, 9);
        limit(fleet, 14_000, 3, 2.5);
        limit(fleet, 28_000, 3, 8);
        fleet.runUntil(40_000);
        for (int engine = 0; engine < 3; engine++) {
            assertKept(fleet, engine, 9, 4_000, 14_000);
            assertKept(fleet, engine, 2.5, 14_000, 28_000);
            assertKept(fleet, engine, 8, 28_000, 40_000);
            assertThat(arrivals(fleet, engine, 31_000, 40_000)).isGreaterThan(8 * 9 * MIN_USE);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3, 0.75, 1.2})
    void keepsFractionsAndNoticesTheirEnd(double perSecond) {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        send(fleet, 0, 40_000, 90);
        limit(fleet, 4_000, 2, perSecond);
        limit(fleet, 25_000, 2, Double.NaN);
        fleet.runUntil(40_000);
        assertKept(fleet, 0, perSecond, 4_000, 25_000);
        assertThat(arrivals(fleet, 0, 7_000, 25_000)).isGreaterThan(perSecond * 18 * MIN_USE - 1);
        // The next request, which may take five seconds, has to notice the end of the limit.
        assertThat(arrivals(fleet, 0, 31_000, 40_000)).isGreaterThan(5 * 9);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void keepsLimitsWithSeveralDispatchers(int cells) {
        FakeFleet fleet = new FakeFleet(300, 300 / cells, 60, 1);
        send(fleet, 0, 25_000, 700);
        limit(fleet, 4_000, 40, 6);
        fleet.runUntil(25_000);
        for (int engine = 0; engine < 40; engine++) {
            assertKept(fleet, engine, 6, 4_000, 25_000);
            assertThat(arrivals(fleet, engine, 9_000, 25_000)).isGreaterThan(6 * 16 * MIN_USE);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 100})
    void keepsLimitsWhileTheDispatcherDoesNotReply(int instances) {
        FakeFleet fleet = new FakeFleet(instances, 8, 1);
        send(fleet, 0, 25_000, 90);
        limit(fleet, 2_000, 8, 6);
        fleet.at(9_000, () -> fleet.setCut(0, true));
        fleet.at(17_000, () -> fleet.setCut(0, false));
        fleet.runUntil(25_000);
        for (int engine = 0; engine < 8; engine++) {
            assertKept(fleet, engine, 6, 2_000, 25_000);
        }
    }

    @Test
    void keepsLimitsWhileInstancesAreCutOffOrRestart() {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        send(fleet, 0, 30_000, 90);
        limit(fleet, 2_000, 6, 6);
        for (int i = 1; i < 5; i++) {
            int instance = i;
            fleet.at(8_000, () -> fleet.setCut(instance, true));
            fleet.at(18_000, () -> fleet.setCut(instance, false));
            fleet.at(20_000 + i * 1_000, () -> fleet.restart(instance));
        }
        fleet.runUntil(30_000);
        for (int engine = 0; engine < 6; engine++) {
            assertKept(fleet, engine, 6, 2_000, 30_000);
        }
    }

    @Test
    void tellsAllInstancesOfALimitAndItsEnd() {
        FakeFleet fleet = new FakeFleet(100, 8, 1);
        send(fleet, 0, 20_000, 90);
        limit(fleet, 4_000, 2, 3);
        limit(fleet, 12_000, 2, Double.NaN);
        fleet.runUntil(7_000);
        for (int instance = 0; instance < 100; instance++) {
            assertThat(fleet.knownRateLimit(instance, 0)).hasValue(3);
        }
        fleet.runUntil(15_000);
        for (int instance = 0; instance < 100; instance++) {
            assertThat(fleet.knownRateLimit(instance, 0)).isEmpty();
        }
    }

    @Test
    void refusesAtOnceWhatTheLimitsOfAllEnginesLeaveNoRoomFor() {
        FakeFleet fleet = new FakeFleet(4, 4, 1);
        send(fleet, 0, 20_000, 60);
        limit(fleet, 2_000, 4, 4);
        fleet.runUntil(20_000);
        long limited =
                mRequests.stream()
                        .filter(each -> each.arrivedMillis() >= 5_000)
                        .filter(
                                each ->
                                        each.refusal()
                                                .filter(PoolCause.RATE_LIMITED::equals)
                                                .isPresent())
                        .count();
        assertThat(limited).isGreaterThan(300);
        for (int engine = 0; engine < 4; engine++) {
            assertKept(fleet, engine, 4, 2_000, 20_000);
            assertThat(arrivals(fleet, engine, 5_000, 20_000)).isGreaterThan(4 * 15 * MIN_USE);
        }
    }

    /** Guards against a dispatcher that misses what an instance decided before its first report. */
    @Test
    void chargesAllRequestsThatOtherInstancesDecided() {
        RateLimits limits = new RateLimits();
        PoolScheduler pool = Jobs.scheduler(limits, "u");
        UpstreamId upstream = new UpstreamId("u");
        limits.record(new RateLimit(upstream, 1, OptionalDouble.of(10), 0), "r", 0);
        // Eight requests at ten per second.
        report(pool, "a", 3, 1_000);
        report(pool, "b", 4, 1_000);
        report(pool, "a", 4, 1_000);
        assertThat(starts(pool, 1, 1_300)).isFalse();
        assertThat(starts(pool, 2, 1_910)).isTrue();
        // A restarted instance counts anew.
        report(pool, "a", 1, 2_000);
        assertThat(starts(pool, 3, 2_050)).isFalse();
        assertThat(starts(pool, 4, 2_150)).isTrue();
    }

    private static boolean starts(PoolScheduler pool, long queryId, long nowMillis) {
        PoolJob job = Jobs.job(queryId, "w", "p", 10, nowMillis);
        List<PoolAction> actions = pool.submit(job, nowMillis);
        pool.withdraw(job);
        return actions.stream().anyMatch(PoolAction.Start.class::isInstance);
    }

    private static void report(PoolScheduler pool, String instance, long starts, long nowMillis) {
        UpstreamUse use = new UpstreamUse(new UpstreamId("u"), 0, 0, 0, 0, starts);
        pool.updatePeer(
                new InstanceId(instance),
                new PoolUse("s", List.of(use), Map.of(), 0, OptionalLong.empty(), false),
                nowMillis);
    }

    private void send(FakeFleet fleet, long fromMillis, long untilMillis, int perSecond) {
        Demand.send(fleet, mRequests, fromMillis, untilMillis, perSecond);
    }

    private static void limit(FakeFleet fleet, long atMillis, int engines, double perSecond) {
        OptionalDouble limit =
                Double.isNaN(perSecond) ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
        for (int i = 0; i < engines; i++) {
            int engine = i;
            fleet.at(atMillis, () -> fleet.engine(engine).limitRate(limit));
        }
    }

    private static void assertKept(
            FakeFleet fleet, int engine, double perSecond, long fromMillis, long untilMillis) {
        double allowed = MAX_FACTOR * perSecond * WINDOW_MILLIS / 1_000 + MAX_SURPLUS;
        for (long from = fromMillis + CONTACT_MILLIS;
                from + WINDOW_MILLIS <= untilMillis;
                from += 50) {
            assertThat(arrivals(fleet, engine, from, from + WINDOW_MILLIS))
                    .as("engine %d from %d ms", engine, from)
                    .isLessThanOrEqualTo(allowed);
        }
    }

    private static double arrivals(FakeFleet fleet, int engine, long fromMillis, long untilMillis) {
        return fleet.engine(engine).arrivalMillis().stream()
                .filter(millis -> millis >= fromMillis && millis < untilMillis)
                .count();
    }

    private double answeredShare() {
        return (double) mRequests.stream().filter(FakeFleet.Request::isAnswered).count()
                / mRequests.size();
    }
}
