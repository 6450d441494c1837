package org.magnoliapick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliapick.route.RouteKind;

final class StreamWatchTest {
    private static StreamWatch watch(boolean resumable) {
        return new StreamWatch(Requests.route(RouteKind.STREAM, resumable), 0);
    }

    /** A stream of whole events at the longest pause is slow and sound. */
    @Test
    void leavesASlowStreamAlone() {
        StreamWatch watch = watch(true);
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 300) {
            watch.progressed(nowMillis);
            assertThat(watch.isStalled(nowMillis + 300)).isFalse();
        }
    }

    @Test
    void endsAStreamWithoutWholeEvents() {
        StreamWatch watch = watch(true);
        watch.progressed(100);
        assertThat(watch.isStalled(100 + 4 * 300)).isFalse();
        assertThat(watch.isStalled(101 + 4 * 300)).isTrue();
    }

    @Test
    void endsAStreamWithoutAHead() {
        assertThat(watch(true).isStalled(801)).isTrue();
    }

    @Test
    void neverEndsAStreamThatMayNotBeResumed() {
        assertThat(watch(false).isStalled(1_000_000)).isFalse();
    }
}
