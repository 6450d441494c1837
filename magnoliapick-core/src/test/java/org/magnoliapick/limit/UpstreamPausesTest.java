package org.magnoliapick.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.UpstreamIncarnation;

final class UpstreamPausesTest {
    private static final UpstreamIncarnation UPSTREAM = incarnation("u", 1);
    private static final InstanceId INSTANCE = new InstanceId("i");

    private final UpstreamPauses mPauses = new UpstreamPauses();
    private final UpstreamPauses mDispatcher = new UpstreamPauses();

    private static UpstreamIncarnation incarnation(String upstream, long startedMillis) {
        return new UpstreamIncarnation(new UpstreamId(upstream), startedMillis);
    }

    private long remainingMillis(UpstreamIncarnation incarnation, long nowMillis) {
        return mPauses.remainingMillis(Optional.empty(), incarnation, nowMillis);
    }

    private long remainingAtDispatcherMillis(long nowMillis) {
        return mDispatcher.remainingMillis(Optional.of(INSTANCE), UPSTREAM, nowMillis);
    }

    @Test
    void lastsUntilItsEndForOneIncarnation() {
        mPauses.record(UPSTREAM, "r", 3_000, 1_000);
        assertThat(remainingMillis(UPSTREAM, 1_000)).isEqualTo(3_000);
        assertThat(remainingMillis(UPSTREAM, 3_999)).isEqualTo(1);
        assertThat(remainingMillis(UPSTREAM, 4_000)).isZero();
        assertThat(remainingMillis(incarnation("u", 2), 1_000)).isZero();
        assertThat(remainingMillis(incarnation("v", 1), 1_000)).isZero();
        // It is not another instance's.
        assertThat(mPauses.remainingMillis(Optional.of(INSTANCE), UPSTREAM, 1_000)).isZero();
    }

    @Test
    void isNotShortenedByALaterRefusal() {
        mPauses.record(UPSTREAM, "r", 3_000, 1_000);
        mPauses.record(UPSTREAM, "s", 100, 1_500);
        mPauses.record(UPSTREAM, "t", 0, 1_600);
        assertThat(remainingMillis(UPSTREAM, 2_000)).isEqualTo(2_000);
        mPauses.record(UPSTREAM, "u", 5_000, 2_000);
        assertThat(remainingMillis(UPSTREAM, 2_000)).isEqualTo(5_000);
    }

    @Test
    void ignoresAndBoundsWrongValues() {
        mPauses.record(UPSTREAM, "r", 0, 1_000);
        mPauses.record(UPSTREAM, "r", -5, 1_000);
        assertThat(mPauses.isEmpty()).isTrue();
        mPauses.record(UPSTREAM, "r", Long.MAX_VALUE, 1_000);
        assertThat(remainingMillis(UPSTREAM, 1_000)).isEqualTo(600_000);
    }

    @Test
    void logsEachChange() {
        mPauses.record(UPSTREAM, "r", 3_000, 1_000);
        mPauses.record(UPSTREAM, "s", 1_000, 1_000);
        mPauses.tick(3_999);
        assertThat(mPauses.takeChanges())
                .containsExactly(
                        new PauseChange(
                                PauseChange.Kind.PAUSED,
                                new UpstreamPause(UPSTREAM, 4_000),
                                "request r"));
        mPauses.tick(4_000);
        assertThat(mPauses.takeChanges())
                .extracting(PauseChange::logName)
                .containsExactly("upstream.pause-ended");
        assertThat(mPauses.isEmpty()).isTrue();
    }

    @Test
    void tellsTheDispatcher() {
        mPauses.record(UPSTREAM, "r", 3_000, 1_000);
        PauseUpdate update = mPauses.updateFor(0).orElseThrow();
        mDispatcher.applyUpdate(INSTANCE, 5, update, 1_010);
        assertThat(remainingAtDispatcherMillis(1_010)).isEqualTo(2_990);
        assertThat(mDispatcher.remainingMillis(Optional.empty(), UPSTREAM, 1_010)).isZero();
        assertThat(mDispatcher.updateFor(0)).isEmpty();
        assertThat(mPauses.updateFor(update.version())).isEmpty();
        mPauses.record(UPSTREAM, "s", 9_000, 1_020);
        mDispatcher.applyUpdate(
                INSTANCE, 5, mPauses.updateFor(update.version()).orElseThrow(), 1_030);
        assertThat(remainingAtDispatcherMillis(1_030)).isEqualTo(8_990);
        mDispatcher.tick(10_020);
        assertThat(mDispatcher.isEmpty()).isTrue();
    }

    @Test
    void endsWithARestartOfTheInstance() {
        mPauses.record(UPSTREAM, "r", 3_000, 1_000);
        mDispatcher.applyUpdate(INSTANCE, 5, mPauses.updateFor(0).orElseThrow(), 1_010);
        mDispatcher.reportReceived(INSTANCE, 5);
        assertThat(remainingAtDispatcherMillis(1_020)).isPositive();
        mDispatcher.reportReceived(INSTANCE, 6);
        assertThat(remainingAtDispatcherMillis(1_020)).isZero();
    }

    /** Guards against updates that consist of pauses which were dropped. */
    @Test
    void tellsOnlyThePausesThatAreKept() {
        for (int i = 0; i < 3_000; i++) {
            mPauses.record(incarnation("u" + i, 1), "r", 10_000 + i, 1_000);
        }
        mPauses.tick(20_000);
        mPauses.record(UPSTREAM, "r", 3_000, 20_000);
        assertThat(mPauses.updateFor(0).orElseThrow().pauses())
                .containsExactly(new UpstreamPause(UPSTREAM, 23_000));
    }

    /** Guards against a log line and an update for each of many refusals at the same time. */
    @Test
    void tellsOnlyExtensionsThatMatter() {
        mPauses.record(UPSTREAM, "r0", 3_000, 1_000);
        long version = mPauses.updateFor(0).orElseThrow().version();
        for (int i = 1; i < 100; i++) {
            mPauses.record(UPSTREAM, "r" + i, 3_000, 1_000 + i);
        }
        assertThat(remainingMillis(UPSTREAM, 1_099)).isEqualTo(3_000);
        assertThat(mPauses.takeChanges()).hasSize(1);
        assertThat(mPauses.updateFor(version)).isEmpty();
        // Many small extensions together matter.
        mPauses.record(UPSTREAM, "last", 3_000, 1_100);
        assertThat(mPauses.takeChanges()).hasSize(1);
        assertThat(mPauses.updateFor(version)).isPresent();
    }

    @Test
    void isBounded() {
        for (int i = 0; i < 3_000; i++) {
            mPauses.record(incarnation("u" + i, 1), "r", 10_000 + i, 1_000);
            mDispatcher.applyUpdate(
                    new InstanceId("i" + i),
                    1,
                    new PauseUpdate(1, List.of(new UpstreamPause(UPSTREAM, 9_000))),
                    1_000);
        }
        assertThat(mPauses.count()).isEqualTo(1_024);
        assertThat(remainingMillis(incarnation("u2999", 1), 1_000)).isPositive();
        InstanceId last = new InstanceId("i2999");
        assertThat(mDispatcher.remainingMillis(Optional.of(last), UPSTREAM, 1_000)).isZero();
    }
}
