package org.magnoliapick.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class OverloadReadinessTest {
    private final OverloadReadiness mReadiness = new OverloadReadiness();

    /** Guards against an instance that is out of rotation although it takes requests. */
    @Test
    void anInstanceThatIsAlwaysOverloadedIsReadyForSevenEighthsOfTheTime() {
        int notReady = 0;
        for (int nowMillis = 0; nowMillis < 600_000; nowMillis += 100) {
            notReady += mReadiness.update(true, nowMillis) ? 0 : 1;
        }

        assertThat(notReady).isBetween(6_000 / 20, 6_000 / 8);
    }

    @Test
    void aShortOverloadLeavesItReady() {
        assertThat(mReadiness.update(true, 0)).isTrue();
        assertThat(mReadiness.update(true, 1_900)).isTrue();
        assertThat(mReadiness.update(false, 2_000)).isTrue();
        assertThat(mReadiness.update(true, 2_100)).isTrue();
    }

    @Test
    void itIsReadyAgainOnceItWasCalmForAWhile() {
        mReadiness.update(true, 0);

        assertThat(mReadiness.update(true, 2_000)).isFalse();
        assertThat(mReadiness.update(false, 2_500)).isFalse();
        assertThat(mReadiness.update(false, 3_400)).isFalse();
        assertThat(mReadiness.update(false, 3_500)).isTrue();
    }
}
