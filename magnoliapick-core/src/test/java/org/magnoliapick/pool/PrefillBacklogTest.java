package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class PrefillBacklogTest {
    private static final double TOKENS_PER_MILLI = 10;

    private final PrefillBacklog mBacklog = new PrefillBacklog();

    @Test
    void shrinksAtThePrefillSpeed() {
        mBacklog.add(1_000, 0);
        assertThat(mBacklog.tokens(TOKENS_PER_MILLI, 40)).isEqualTo(600);
    }

    @Test
    void prefillsPromptsOneAfterTheOther() {
        mBacklog.add(1_000, 0);
        mBacklog.add(1_000, 0);
        assertThat(mBacklog.tokens(TOKENS_PER_MILLI, 150)).isEqualTo(500);
    }

    @Test
    void doesNotPrefillTokensBeforeTheyArrive() {
        mBacklog.add(1_000, 400);
        mBacklog.add(1_000, 0);
        assertThat(mBacklog.tokens(TOKENS_PER_MILLI, 400)).isEqualTo(1_000);
    }

    @Test
    void isNeverNegative() {
        mBacklog.add(1_000, 0);
        assertThat(mBacklog.tokens(TOKENS_PER_MILLI, 10_000)).isZero();
    }
}
