package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.request.AttemptEnd;

/** Guards against load of a former incarnation that keeps a restarted upstream from requests. */
final class RestartedUpstreamLoadTest {
    private static final long NOW_MILLIS = 1_000;

    private final PoolScheduler mScheduler = Jobs.scheduler(new RateLimits(), "u");

    private void list(ListedUpstream... upstreams) {
        mScheduler.setUpstreams(List.of(upstreams), NOW_MILLIS);
    }

    private Ticket start(long queryId) {
        return mScheduler
                .submit(Jobs.job(queryId, "w", "part", 12_000, NOW_MILLIS), NOW_MILLIS)
                .stream()
                .filter(PoolAction.Start.class::isInstance)
                .map(action -> ((PoolAction.Start) action).ticket())
                .findFirst()
                .orElseThrow();
    }

    private List<UpstreamUse> uses() {
        return mScheduler.ownUse(NOW_MILLIS).uses();
    }

    @Test
    void forgetsTheLoadOfTheFormerIncarnation() {
        list(Jobs.incarnation("u", 1));
        final Ticket former = start(1);
        list(Jobs.incarnation("u", 2));
        assertThat(uses()).isEmpty();
        final Ticket current = start(2);
        mScheduler.endAttempt(former, Optional.of(AttemptEnd.CUT), NOW_MILLIS);
        assertThat(uses()).hasSize(1);
        mScheduler.endAttempt(current, Optional.empty(), NOW_MILLIS);
        assertThat(uses()).isEmpty();
    }

    /** The upstream was missing from the list while its attempts went on. */
    @Test
    void doesNotTakeOffWhatItDidNotCount() {
        list(Jobs.incarnation("u", 1));
        final Ticket before = start(1);
        list();
        list(Jobs.incarnation("u", 1));
        mScheduler.recordEvent(before, NOW_MILLIS);
        mScheduler.endAttempt(before, Optional.empty(), NOW_MILLIS);
        assertThat(uses()).isEmpty();
        start(2);
        assertThat(uses()).singleElement().matches(use -> use.running() == 1);
    }
}
