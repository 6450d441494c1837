package org.magnoliapick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliapick.route.RouteKind;

final class StreamWatchTest {
    private static StreamWatch watch(boolean resumable) {
        return new StreamWatch(Requests.route(RouteKind.STREAM, resumable), 0);
    }

    /** A stream whose complete events arrive at the pause objective is slow but has not stalled. */
    @Test
    void doesNotReportASlowStreamAsStalled() {
        StreamWatch watch = watch(true);
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 300) {
            watch.progressed(nowMillis);
            assertThat(watch.isStalled(nowMillis + 300)).isFalse();
        }
    }

    @Test
    void reportsAStreamWithoutCompleteEventsAsStalled() {
        StreamWatch watch = watch(true);
        watch.progressed(100);
        assertThat(watch.isStalled(100 + 4 * 300)).isFalse();
        assertThat(watch.isStalled(101 + 4 * 300)).isTrue();
    }

    @Test
    void reportsAStreamWithoutAHeadAsStalled() {
        assertThat(watch(true).isStalled(801)).isTrue();
    }

    @Test
    void neverReportsAStreamThatIsNotResumableAsStalled() {
        assertThat(watch(false).isStalled(1_000_000)).isFalse();
    }
}
