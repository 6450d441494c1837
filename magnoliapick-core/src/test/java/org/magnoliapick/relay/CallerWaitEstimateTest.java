package org.magnoliapick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class CallerWaitEstimateTest {
    private final CallerWaitEstimate mEstimate = new CallerWaitEstimate();

    private long elapsed(long leftMillis) {
        return mEstimate.elapsedMillis("r", OptionalLong.of(leftMillis));
    }

    @Test
    void detectsARetryByItsShorterRemainingWait() {
        assertThat(elapsed(10_000)).isZero();
        assertThat(elapsed(9_900)).isZero();
        assertThat(elapsed(8_000)).isEqualTo(2_000);
    }

    @Test
    void treatsACallerThatStatesNoWaitAsNew() {
        assertThat(mEstimate.elapsedMillis("r", OptionalLong.empty())).isZero();
    }
}
