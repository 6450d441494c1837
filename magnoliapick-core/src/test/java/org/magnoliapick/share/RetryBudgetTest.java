package org.magnoliapick.share;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    private final RetryBudget mBudget = new RetryBudget();

    private int takeAllRetries(long nowMillis) {
        int allowed = 0;
        while (mBudget.tryRetry(nowMillis)) {
            allowed++;
        }
        return allowed;
    }

    @Test
    void allowsThreeRetriesWithoutSuccesses() {
        assertThat(takeAllRetries(0)).isEqualTo(3);
    }

    @Test
    void allowsOneRetryPerTenSuccesses() {
        for (int i = 0; i < 100; i++) {
            mBudget.recordSuccess(0);
        }
        assertThat(takeAllRetries(0)).isEqualTo(13);
    }

    @Test
    void restoresBudgetOverTime() {
        takeAllRetries(0);
        assertThat(takeAllRetries(100_000)).isEqualTo(2);
    }
}
