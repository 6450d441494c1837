package org.magnoliapick.member;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class DispatcherEligibilityTest {
    private static final long TICK_MILLIS = 50;
    private static final long STARTED_MILLIS = 0;

    private final DispatcherEligibility mEligibility =
            new DispatcherEligibility(TICK_MILLIS, STARTED_MILLIS);
    private long mNowMillis = STARTED_MILLIS;

    /** Lets time pass in which the socket is emptied by each read, or by none. */
    private void run(long millis, boolean emptied) {
        long endMillis = mNowMillis + millis;
        while (mNowMillis < endMillis) {
            mNowMillis += TICK_MILLIS;
            mEligibility.backlog().recordRead(emptied, mNowMillis);
            mEligibility.tick(mNowMillis);
        }
    }

    private boolean isDeclined() {
        return mEligibility.isDeclined(mNowMillis);
    }

    @Test
    void declinesTheRoleWhileItStartsAndStops() {
        assertThat(isDeclined()).isTrue();
        run(3_000, true);
        assertThat(isDeclined()).isFalse();
        mEligibility.beginStop();
        assertThat(isDeclined()).isTrue();
    }

    @Test
    void declinesTheRoleForATimeAfterAStall() {
        run(5_000, true);
        mNowMillis += 1_001;
        assertThat(mEligibility.tick(mNowMillis)).hasValue(951);
        assertThat(isDeclined()).isTrue();
        run(2_000, true);
        assertThat(isDeclined()).isFalse();
    }

    /** Guards against a slow dispatcher that answers each query late and keeps the role. */
    @Test
    void declinesTheRoleWhenItsSocketIsNeverEmpty() {
        run(5_000, true);
        run(400, false);
        assertThat(isDeclined()).isTrue();
        run(20_000, false);
        assertThat(isDeclined()).isTrue();
    }

    @Test
    void keepsTheRoleWhenItsSocketIsEmptyAtTimes() {
        run(5_000, true);
        for (int i = 0; i < 100; i++) {
            run(200, false);
            run(TICK_MILLIS, true);
            assertThat(isDeclined()).isFalse();
        }
    }

    @Test
    void offersTheRoleAgainAfterATimeThatGrowsWithEachBacklog() {
        run(5_000, true);
        long firstMillis = declinedMillisAfterBacklog();
        long secondMillis = declinedMillisAfterBacklog();
        assertThat(firstMillis).isBetween(1_000L, 60_000L);
        assertThat(secondMillis).isEqualTo(2 * firstMillis);
        for (int i = 0; i < 10; i++) {
            assertThat(declinedMillisAfterBacklog()).isBetween(1_000L, 60_000L);
        }
        run(120_000, true);
        assertThat(declinedMillisAfterBacklog()).isEqualTo(firstMillis);
    }

    private long declinedMillisAfterBacklog() {
        run(1_000, false);
        long endMillis = mNowMillis;
        while (isDeclined()) {
            run(TICK_MILLIS, true);
        }
        return mNowMillis - endMillis;
    }
}
