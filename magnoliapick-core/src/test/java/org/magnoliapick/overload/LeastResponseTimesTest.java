package org.magnoliapick.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class LeastResponseTimesTest {
    private final LeastResponseTimes mTimes = new LeastResponseTimes();

    /** Guards against a time that is kept after the upstreams got faster or slower. */
    @Test
    void theLeastTimeOfARouteIsForgottenAfterTwoWindows() {
        mTimes.record("r", 40, 10_000);
        mTimes.record("r", 20, 10_000);
        mTimes.record("other", 5, 10_000);

        assertThat(mTimes.leastMillis("r", 10_000)).isEqualTo(20);
        mTimes.record("r", 30, 15_000);
        assertThat(mTimes.leastMillis("r", 15_000)).isEqualTo(20);
        assertThat(mTimes.leastMillis("r", 20_000)).isEqualTo(30);
        assertThat(mTimes.leastMillis("r", 30_000)).isZero();
    }
}
