package org.magnoliapick.share;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    private final RetryBudget mBudget = new RetryBudget();

    private int allowed(long nowMillis) {
        int allowed = 0;
        while (mBudget.tryRetry(nowMillis)) {
            allowed++;
        }
        return allowed;
    }

    @Test
    void allowsAFewRetriesWithoutSuccesses() {
        assertThat(allowed(0)).isEqualTo(3);
    }

    @Test
    void allowsATenthOfTheSuccesses() {
        for (int i = 0; i < 100; i++) {
            mBudget.recordSuccess(0);
        }
        assertThat(allowed(0)).isEqualTo(13);
    }

    @Test
    void recoversWithTime() {
        allowed(0);
        assertThat(allowed(100_000)).isEqualTo(2);
    }
}
