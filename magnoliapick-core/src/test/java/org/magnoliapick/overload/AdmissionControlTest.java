package org.magnoliapick.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class AdmissionControlTest {
    /** A slow machine that always runs: 500 requests a second. */
    private static final double SLOW_COST_MILLIS = 2;

    /** A fast machine that runs for 27 ms of each 100 ms: 540 requests a second. */
    private static final double FAST_COST_MILLIS = 0.5;

    private static final double QUOTA_MILLIS = 27;
    private static final double NO_QUOTA = Double.MAX_VALUE;

    private final AdmissionControl mControl = new AdmissionControl();

    private static LoopReplay slow(Optional<AdmissionControl> control) {
        return new LoopReplay(control, SLOW_COST_MILLIS, SLOW_COST_MILLIS / 10, NO_QUOTA, 0.5);
    }

    private static LoopReplay throttled(Optional<AdmissionControl> control) {
        return new LoopReplay(control, FAST_COST_MILLIS, FAST_COST_MILLIS / 10, QUOTA_MILLIS, 0.5);
    }

    /** Replays 5 s at 0.7 of the capacity, 10 s at three times of it, and 5 s as before. */
    private static List<LoopReplay.Work> flood(LoopReplay replay, double capacity) {
        return replay.arrivals(0, 5_000, 0.7 * capacity)
                .arrivals(5_000, 15_000, 3 * capacity)
                .arrivals(15_000, 20_000, 0.7 * capacity)
                .run();
    }

    private static double onTimePerSecond(
            List<LoopReplay.Work> requests, double fromMillis, double toMillis) {
        long count =
                requests.stream()
                        .filter(each -> each.mArrivedMillis >= fromMillis)
                        .filter(each -> each.mArrivedMillis < toMillis)
                        .filter(LoopReplay.Work::isOnTime)
                        .count();
        return count * 1_000 / (toMillis - fromMillis);
    }

    private static long rejected(List<LoopReplay.Work> requests, double fromMillis) {
        return requests.stream()
                .filter(each -> each.mArrivedMillis >= fromMillis && each.mRejection.isPresent())
                .count();
    }

    private static void assertServedDuringFlood(List<LoopReplay.Work> requests) {
        double before = onTimePerSecond(requests, 0, 5_000);
        assertThat(requests.stream().filter(each -> each.mArrivedMillis < 5_000))
                .allMatch(each -> each.mRejection.isEmpty());
        assertThat(onTimePerSecond(requests, 5_000, 15_000)).isGreaterThan(0.9 * before);
        // A further second is enough to work off what was admitted last.
        assertThat(rejected(requests, 16_000)).isZero();
        assertThat(onTimePerSecond(requests, 16_000, 20_000)).isGreaterThan(0.9 * before);
    }

    /** Guards against an instance that works on requests whose time is over. */
    @Test
    void aFloodOfThreeTimesTheCapacityLeavesAsManyResponsesOnTime() {
        assertServedDuringFlood(flood(slow(Optional.of(mControl)), 500));
    }

    /** Guards against taking the pauses of a processor quota for standing delay, or the reverse. */
    @Test
    void aFloodOnAThrottledMachineLeavesAsManyResponsesOnTime() {
        assertServedDuringFlood(flood(throttled(Optional.of(mControl)), 540));
    }

    /**
     * Guards against a turn that admits many requests whose cost comes later, when their upstreams
     * are connected or respond.
     */
    @Test
    void aFloodOfRequestsWhoseCostComesLateLeavesAsManyResponsesOnTime() {
        double cost = SLOW_COST_MILLIS;
        assertServedDuringFlood(
                flood(new LoopReplay(Optional.of(mControl), cost, cost / 10, NO_QUOTA, 0.05), 500));
    }

    /** Guards against a rate that collapses because the effect of an admission is seen late. */
    @Test
    void aFloodOfLongStreamsLeavesAsManyOnTime() {
        assertServedDuringFlood(flood(slow(Optional.of(mControl)).upstreamMillis(2_000), 500));
    }

    /** Guards against a replay whose flood would do no harm. */
    @Test
    void theFloodEndsAllResponsesOnTimeWithoutAdmissionControl() {
        List<LoopReplay.Work> requests = flood(slow(Optional.empty()), 500);

        assertThat(onTimePerSecond(requests, 5_000, 15_000)).isLessThan(35);
    }

    /** Guards against rejecting requests because of a garbage collection or a short burst. */
    @Test
    void calmLoadWithPausesAndBurstsIsNeverRejected() {
        LoopReplay replay = slow(Optional.of(mControl));
        replay.arrivals(0, 60_000, 350);
        for (int atMillis = 1_000; atMillis < 60_000; atMillis += 2_000) {
            replay.pause(atMillis);
            for (int i = 0; i < 40; i++) {
                replay.add(atMillis + 1_000);
            }
        }

        assertThat(rejected(replay.run(), 0)).isZero();
    }

    /** Guards against rejecting requests because a quota lets the process run at times only. */
    @Test
    void calmLoadOnAThrottledMachineIsNeverRejected() {
        LoopReplay replay = throttled(Optional.of(mControl)).arrivals(0, 60_000, 0.85 * 540);

        assertThat(rejected(replay.run(), 0)).isZero();
    }

    /** Guards against advice on which rejected callers come back to be rejected again. */
    @Test
    void callersThatRetryAsToldAreServed() {
        List<LoopReplay.Work> flood =
                slow(Optional.of(new AdmissionControl())).arrivals(0, 1_000, 1_000).run();
        LoopReplay replay = slow(Optional.of(mControl)).arrivals(0, 1_000, 1_000);
        flood.forEach(
                each ->
                        each.mRejection.ifPresent(
                                rejection ->
                                        replay.add(
                                                each.mArrivedMillis
                                                        + rejection.retryAfterMillis())));

        List<LoopReplay.Work> requests = replay.run();

        assertThat(rejected(flood, 0)).isGreaterThan(200);
        assertThat(rejected(requests, 1_000)).isLessThan(rejected(flood, 0) / 10);
    }

    @Test
    void aRequestThatNoUpstreamAnswersInTimeIsRejectedOnlyUnderOverload() {
        RequestNeed hopeless = new RequestNeed(300, OptionalLong.of(20), 50);
        mControl.setShortestObjective(300);

        assertThat(mControl.decide(() -> Optional.of(hopeless), 1, 0)).isEmpty();
        makeOverloaded();

        assertThat(mControl.decide(() -> Optional.of(hopeless), 1, 400))
                .hasValueSatisfying(
                        each -> assertThat(each.cause()).isEqualTo(Rejection.Cause.TOO_LATE));
        assertThat(mControl.decide(Optional::empty, 1, 400)).isEmpty();
    }

    @Test
    void requestsAreReadForTheirNeedOnlyUnderOverload() {
        AtomicInteger reads = new AtomicInteger();

        mControl.decide(
                () -> {
                    reads.incrementAndGet();
                    return Optional.empty();
                },
                1,
                0);

        assertThat(reads).hasValue(0);
    }

    @Test
    void anInstanceWithNothingInFlightAdmits() {
        mControl.setShortestObjective(300);
        makeOverloaded();
        mControl.beginMeasurement(400);

        assertThat(mControl.decide(Optional::empty, 0, 500)).isEmpty();
        assertThat(mControl.decide(Optional::empty, 1, 500)).isPresent();
    }

    private void makeOverloaded() {
        mControl.endMeasurement(120, 0);
        mControl.endMeasurement(120, 400);
        assertThat(mControl.isOverloaded(400)).isTrue();
    }
}
