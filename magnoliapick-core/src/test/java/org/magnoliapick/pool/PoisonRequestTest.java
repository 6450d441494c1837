package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that crashes one engine after the other, at any instance. */
final class PoisonRequestTest {
    /** The crash after which the fleet has to know the poison part. */
    private static final int BOUND_CRASHES = 5;

    /** The same for repetitions of one request. */
    private static final int BOUND_CRASHES_OF_REPETITIONS = 3;

    /** How long the knowledge may take to reach all instances, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** How many requests with the part may still be sent after that. */
    private static final int MAX_SENT_AFTER_BOUND = 3;

    private final List<FakeFleet.Request> mSound = new ArrayList<>();
    private final List<FakeFleet.Request> mPoisoned = new ArrayList<>();

    @Test
    void stopsSendingRequestsThatCrashTheirEngines() {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        fleet.poison("bad");
        sendMixedLoad(fleet, 30_000, "bad");
        fleet.runUntil(35_000);
        assertThat(sentAfterBound(fleet, "bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
        assertThat(answeredShareFrom(10_000)).isGreaterThan(0.9);
    }

    @ParameterizedTest
    @ValueSource(longs = {2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21})
    void findsTwoPoisonPartsAtOnce(long seed) {
        FakeFleet fleet = new FakeFleet(8, 8, seed);
        fleet.poison("bad");
        fleet.poison("worse");
        sendMixedLoad(fleet, 20_000, "bad", "worse");
        fleet.runUntil(25_000);
        assertThat(sentAfterBound(fleet, "bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
        assertThat(sentAfterBound(fleet, "worse")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
        assertThat(answeredShareFrom(10_000)).isGreaterThan(0.9);
    }

    @ParameterizedTest
    @ValueSource(longs = {2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21})
    void findsAPoisonPartWhileEnginesCrashForOtherReasons(long seed) {
        FakeFleet fleet = new FakeFleet(8, 16, seed);
        fleet.poison("bad");
        sendMixedLoad(fleet, 20_000, "bad");
        for (long millis = 1_000; millis < 20_000; millis += 700) {
            fleet.at(millis, fleet::crashAnyEngine);
        }
        fleet.runUntil(25_000);
        long refusedSound =
                mSound.stream()
                        .filter(each -> each.refusal().equals(Optional.of(PoolCause.QUARANTINED)))
                        .count();
        assertThat(refusedSound).isLessThan(mSound.size() / 50);
        assertThat(sentAfterBound(fleet, "bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
    }

    /** In a large fleet each instance relays few of the answers that speak for a sound part. */
    @ParameterizedTest
    @CsvSource({"87, 1", "87, 2", "300, 1"})
    void servesSoundPartsWhileManyEnginesOfALargeFleetCrash(int instances, long seed) {
        FakeFleet fleet = new FakeFleet(instances, 100, 48, seed);
        fleet.poison("bad");
        sendLargeLoad(fleet, 12_000, "bad");
        for (long millis = 1_000; millis < 12_000; millis += 50) {
            fleet.at(millis, fleet::crashAnyEngine);
        }
        fleet.runUntil(14_000);
        long refusedSound =
                mSound.stream()
                        .filter(each -> each.refusal().equals(Optional.of(PoolCause.QUARANTINED)))
                        .count();
        assertThat(refusedSound).isLessThan(mSound.size() / 50);
        assertThat(sentAfterBound(fleet, "bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
    }

    /**
     * Sends 200 sound requests per second with one of 100 parts, some of them rare, and two with a
     * poison part and one of ten sound parts, to all instances.
     */
    private void sendLargeLoad(FakeFleet fleet, long untilMillis, String poison) {
        for (long millis = 0; millis < untilMillis; millis += 5) {
            long number = millis / 5;
            fleet.at(
                    millis,
                    () -> {
                        int instance = fleet.random().nextInt(fleet.instanceCount());
                        int part = (int) (100 * Math.pow(fleet.random().nextDouble(), 2));
                        mSound.add(fleet.send(instance, "first", "part-" + part));
                        if (number % 100 == 0) {
                            instance = fleet.random().nextInt(fleet.instanceCount());
                            part = 90 + fleet.random().nextInt(10);
                            mPoisoned.add(fleet.send(instance, "first", "part-" + part, poison));
                        }
                    });
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21})
    void quarantinesNothingWhenAllEnginesCrashTogether(long seed) {
        FakeFleet fleet = new FakeFleet(8, 8, seed);
        sendMixedLoad(fleet, 20_000);
        for (long millis = 1_000; millis < 20_000; millis += 4_000) {
            for (int i = 0; i < 8; i++) {
                fleet.at(millis + 10 * i, fleet::crashAnyEngine);
            }
        }
        fleet.runUntil(25_000);
        assertThat(mSound)
                .noneMatch(each -> each.refusal().equals(Optional.of(PoolCause.QUARANTINED)));
    }

    @Test
    void aRestartedInstanceLearnsOfTheQuarantine() {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        fleet.poison("bad");
        sendMixedLoad(fleet, 30_000, "bad");
        fleet.runUntil(10_000);
        int crashes = fleet.crashMillis("bad").size();
        fleet.restart(0);
        fleet.restart(3);
        fleet.runUntil(12_000);
        assertThat(fleet.quarantinedCount(0)).isEqualTo(1);
        assertThat(fleet.quarantinedCount(3)).isEqualTo(1);
        fleet.runUntil(35_000);
        assertThat(fleet.crashMillis("bad")).hasSizeLessThanOrEqualTo(crashes + 1);
    }

    @Test
    void anInstanceThatWasCutOffLearnsOfTheQuarantine() {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        fleet.poison("bad");
        fleet.setCut(5, true);
        sendMixedLoad(fleet, 30_000, "bad");
        fleet.at(9_000, () -> fleet.setCut(5, false));
        fleet.runUntil(10_000);
        assertThat(fleet.quarantinedCount(5)).isEqualTo(1);
        fleet.runUntil(35_000);
        assertThat(sentAfterBound(fleet, "bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
    }

    @Test
    void servesThePartAgainOnceItIsHarmless() {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        fleet.poison("bad");
        sendMixedLoad(fleet, 90_000, "bad");
        fleet.runUntil(10_000);
        assertThat(fleet.quarantinedCount(0)).isEqualTo(1);
        fleet.cure("bad");
        fleet.runUntil(95_000);
        assertThat(fleet.quarantinedCount(0)).isZero();
        assertThat(mPoisoned.get(mPoisoned.size() - 1).isAnswered()).isTrue();
    }

    /**
     * Sends sound requests with one of 20 parts, and one request in 20 with a poison part if there
     * is any, to all instances. All share their first part.
     */
    private void sendMixedLoad(FakeFleet fleet, long untilMillis, String... poison) {
        for (long millis = 0; millis < untilMillis; millis += 40) {
            fleet.at(
                    millis,
                    () -> {
                        int instance = fleet.random().nextInt(fleet.instanceCount());
                        if (poison.length > 0 && fleet.random().nextInt(20) == 0) {
                            String part = poison[fleet.random().nextInt(poison.length)];
                            mPoisoned.add(fleet.send(instance, "first", part));
                        } else {
                            String part = "part-" + fleet.random().nextInt(20);
                            mSound.add(fleet.send(instance, "first", part));
                        }
                    });
        }
    }

    private double answeredShareFrom(long millis) {
        List<FakeFleet.Request> later =
                mSound.stream().filter(each -> each.arrivedMillis() >= millis).toList();
        return (double) later.stream().filter(FakeFleet.Request::isAnswered).count() / later.size();
    }

    /** A caller whose request crashed its engine sends it again, to any instance. */
    @ParameterizedTest
    @ValueSource(ints = {4, 8, 100, 300})
    void stopsSendingRepetitionsOfARequestThatCrashesItsEngines(int instances) {
        FakeFleet fleet = new FakeFleet(instances, 100, 8, instances);
        fleet.poison("own-1");
        sendMixedLoad(fleet, 30_000);
        for (long millis = 2_000; millis < 25_000; millis += 400) {
            fleet.at(
                    millis,
                    () ->
                            mPoisoned.add(
                                    fleet.sendRepetition(
                                            fleet.random().nextInt(instances),
                                            1,
                                            "first",
                                            "part-1")));
        }
        fleet.runUntil(35_000);
        assertThat(sentAfterBound(fleet, "own-1", BOUND_CRASHES_OF_REPETITIONS))
                .isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
        assertThat(answeredShareFrom(10_000)).isGreaterThan(0.9);
        assertThat(mSound)
                .noneMatch(each -> each.refusal().equals(Optional.of(PoolCause.QUARANTINED)));
    }

    private long sentAfterBound(FakeFleet fleet, String part) {
        return sentAfterBound(fleet, part, BOUND_CRASHES);
    }

    private long sentAfterBound(FakeFleet fleet, String part, int boundCrashes) {
        if (fleet.crashMillis(part).size() < boundCrashes) {
            return 0;
        }
        long boundMillis = fleet.crashMillis(part).get(boundCrashes - 1) + CONTACT_MILLIS;
        return mPoisoned.stream()
                .filter(each -> each.hasPart(part))
                .flatMap(each -> each.sentMillis().stream())
                .filter(each -> each > boundMillis)
                .count();
    }
}
