package org.magnoliapick.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class TokenBucketTest {
    private static TokenBucket bucket(double perSecond) {
        return new TokenBucket(new BucketRate(perSecond, 1, false), 0, 0);
    }

    /** Takes a token whenever there is one; returns how many. */
    private static int drain(TokenBucket bucket, long fromMillis, long untilMillis) {
        int taken = 0;
        for (long millis = fromMillis; millis < untilMillis; millis++) {
            if (bucket.hasToken(millis)) {
                bucket.take(1, millis);
                taken++;
            }
        }
        return taken;
    }

    @Test
    void givesTheWholeRateAndNoMore() {
        assertThat(drain(bucket(6.3), 0, 100_000)).isBetween(629, 630);
    }

    @Test
    void startsEmptyAndSavesHalfASecond() {
        assertThat(bucket(10).hasToken(0)).isFalse();
        assertThat(drain(bucket(10), 60_000, 61_000)).isBetween(5 + 9, 5 + 10);
    }

    @Test
    void waitsForAWholeTokenOfAFraction() {
        TokenBucket bucket = bucket(0.5);
        assertThat(bucket.waitMillis(0)).isEqualTo(2_000);
        assertThat(bucket.hasToken(1_999)).isFalse();
        assertThat(bucket.hasToken(2_000)).isTrue();
        // A token that is not used is kept, but no second one.
        assertThat(drain(bucket, 60_000, 60_100)).isEqualTo(1);
    }

    @Test
    void paysForRequestsOfOtherInstances() {
        TokenBucket bucket = bucket(10);
        bucket.take(6, 1_000);
        // 5 tokens were saved, so one is owed.
        assertThat(bucket.waitMillis(1_000)).isEqualTo(200);
        bucket.take(1_000, 1_000);
        assertThat(bucket.waitMillis(1_000)).isLessThanOrEqualTo(4_200);
    }

    @Test
    void sendsAProbeToAnUpstreamThatTakesNothing() {
        assertThat(drain(bucket(0), 0, 60_000)).isBetween(11, 12);
    }

    @Test
    void keepsFormerTokensWhenTheRateChanges() {
        TokenBucket bucket = bucket(10);
        bucket.setRate(new BucketRate(1, 1, false), 300);
        assertThat(bucket.hasToken(300)).isTrue();
        bucket.take(1, 300);
        assertThat(bucket.waitMillis(300)).isEqualTo(1_000);
    }

    /** Otherwise all instances of a large fleet would use what they saved at the same time. */
    @Test
    void losesTheTokensOfASmallShareThatAreNotUsedSoon() {
        int usable = 0;
        for (int i = 0; i < 300; i++) {
            BucketRate rate = new BucketRate(6, 1.0 / 300, true);
            TokenBucket bucket = new TokenBucket(rate, i / 300.0, 0);
            usable += bucket.hasToken(123_456) ? 1 : 0;
        }
        assertThat(usable).isBetween(2, 4);
    }
}
