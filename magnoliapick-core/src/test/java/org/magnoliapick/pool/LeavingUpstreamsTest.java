package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class LeavingUpstreamsTest {
    private final LeavingUpstreams mLeaving = new LeavingUpstreams();
    private final LeavingUpstreams mOther = new LeavingUpstreams();

    private static ListedUpstream upstream(long startedMillis) {
        return Jobs.incarnation("u", startedMillis);
    }

    private LeavingUpdate update(long seenMillis) {
        return new LeavingUpdate(
                1, List.of(new LeavingUpstream(upstream(1).incarnation(), seenMillis)));
    }

    @Test
    void isFinalForAnIncarnation() {
        assertThat(mLeaving.record(upstream(1), "r", 10)).isTrue();
        assertThat(mLeaving.record(upstream(1), "q", 20)).isFalse();
        assertThat(mLeaving.contains(upstream(1))).isTrue();
        assertThat(mLeaving.contains(upstream(2))).isFalse();
        List<LeavingChange> changes = mLeaving.takeChanges();
        assertThat(changes).hasSize(1);
        assertThat(changes.get(0).logName()).isEqualTo("upstream.leaving");
        assertThat(changes.get(0).evidence()).isEqualTo("request r");
    }

    @Test
    void passesOnWhatOthersKnow() {
        mLeaving.record(upstream(1), "r", 10);
        assertThat(mOther.applyUpdate(mLeaving.updateFor(0).orElseThrow(), "i", 20)).isTrue();
        assertThat(mOther.contains(upstream(1))).isTrue();
        assertThat(mOther.updateFor(0)).isEqualTo(mLeaving.updateFor(0));
        assertThat(mLeaving.applyUpdate(mOther.updateFor(0).orElseThrow(), "j", 30)).isFalse();
        assertThat(mLeaving.updateFor(1)).isEmpty();
        assertThat(mOther.takeChanges().get(0).evidence()).isEqualTo("instance i");
    }

    @Test
    void forgetsAnUpstreamThatHasNotExistedForLong() {
        mLeaving.record(upstream(1), "r", 10);
        mLeaving.tick(600_010);
        assertThat(mLeaving.contains(upstream(1))).isTrue();
        mLeaving.tick(600_011);
        assertThat(mLeaving.contains(upstream(1))).isFalse();
        // An instance that has not forgotten it yet does not bring it back.
        assertThat(mLeaving.applyUpdate(update(10), "i", 600_020)).isFalse();
        assertThat(mLeaving.updateFor(0).orElseThrow().upstreams()).isEmpty();
    }

    @Test
    void isBounded() {
        for (int i = 0; i < 3_000; i++) {
            mLeaving.record(upstream(i), "r", i);
        }
        assertThat(mLeaving.count()).isEqualTo(2_048);
        assertThat(mLeaving.contains(upstream(2_999))).isTrue();
        assertThat(mLeaving.contains(upstream(0))).isFalse();
    }
}
