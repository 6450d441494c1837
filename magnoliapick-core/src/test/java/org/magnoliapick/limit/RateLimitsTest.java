package org.magnoliapick.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.UpstreamId;

final class RateLimitsTest {
    private static final UpstreamId U = new UpstreamId("u");
    private static final long STARTED = 5;

    private final RateLimits mLimits = new RateLimits();

    private static RateLimit limit(long startedMillis, double perSecond, long seenMillis) {
        return new RateLimit(U, startedMillis, OptionalDouble.of(perSecond), seenMillis);
    }

    private static RateLimit none(long seenMillis) {
        return new RateLimit(U, STARTED, OptionalDouble.empty(), seenMillis);
    }

    private List<RateLimitChange.Kind> changes() {
        return mLimits.takeChanges().stream().map(RateLimitChange::kind).toList();
    }

    @Test
    void keepsTheNewestStatement() {
        mLimits.record(limit(STARTED, 6.3, 100), "r", 50);
        mLimits.record(limit(STARTED, 6.3, 110), "s", 60);
        mLimits.record(limit(STARTED, 4, 120), "t", 70);
        assertThat(mLimits.find(U, STARTED)).hasValue(4);
        assertThat(changes())
                .containsExactly(
                        RateLimitChange.Kind.RATE_LIMITED, RateLimitChange.Kind.RATE_LIMITED);
        mLimits.record(none(200), "v", 130);
        assertThat(mLimits.find(U, STARTED)).isEmpty();
        assertThat(changes()).containsExactly(RateLimitChange.Kind.RATE_UNLIMITED);
    }

    /** The response may have left the upstream before it named the limit. */
    @Test
    void isNotEndedByTheResponseToAnEarlierRequest() {
        mLimits.record(limit(STARTED, 6.3, 100), "r", 50);
        mLimits.record(none(110), "s", 90);
        assertThat(mLimits.find(U, STARTED)).hasValue(6.3);
    }

    @Test
    void belongsToOneIncarnation() {
        mLimits.record(limit(STARTED, 6.3, 100), "r", 50);
        assertThat(mLimits.find(U, STARTED + 1)).isEmpty();
        mLimits.record(limit(STARTED + 1, 2, 200), "s", 150);
        assertThat(mLimits.find(U, STARTED + 1)).hasValue(2);
        assertThat(mLimits.find(U, STARTED)).isEmpty();
    }

    @Test
    void mergesReportsInAnyOrder() {
        RateLimits other = new RateLimits();
        mLimits.record(limit(STARTED, 6.3, 100), "r", 50);
        RateLimitUpdate first = mLimits.updateFor(0).orElseThrow();
        mLimits.record(none(200), "s", 150);
        RateLimitUpdate second = mLimits.updateFor(first.version()).orElseThrow();
        other.applyUpdate(second, "a");
        other.applyUpdate(first, "a");
        assertThat(other.find(U, STARTED)).isEmpty();
        other.applyUpdate(new RateLimitUpdate(9, List.of(limit(STARTED, 3, 300))), "b");
        assertThat(other.find(U, STARTED)).hasValue(3);
        assertThat(other.takeChanges().get(0).evidence()).isEqualTo("instance b");
    }

    @Test
    void reportsAnUnchangedLimitOnlyNowAndThen() {
        mLimits.record(limit(STARTED, 6.3, 0), "r", 0);
        long version = mLimits.updateFor(0).orElseThrow().version();
        int updates = 0;
        for (long millis = 1; millis < 60_000; millis += 100) {
            mLimits.record(limit(STARTED, 6.3, millis), "r", millis);
            if (mLimits.updateFor(version).isPresent()) {
                updates++;
                version = mLimits.updateFor(version).orElseThrow().version();
            }
        }
        assertThat(updates).isBetween(4, 6);
    }

    @Test
    void sendsAllLimitsInSeveralUpdates() {
        for (int i = 0; i < 100; i++) {
            mLimits.record(
                    new RateLimit(new UpstreamId("u" + i), STARTED, OptionalDouble.of(i), i),
                    "r",
                    0);
        }
        RateLimits other = new RateLimits();
        long version = 0;
        while (mLimits.updateFor(version).isPresent()) {
            RateLimitUpdate update = mLimits.updateFor(version).orElseThrow();
            assertThat(update.limits()).hasSizeLessThanOrEqualTo(32);
            other.applyUpdate(update, "a");
            version = update.version();
        }
        assertThat(other.limitedCount()).isEqualTo(100);
    }

    @Test
    void sendsEverythingToAnInstanceThatKnowsAFormerIncarnation() {
        mLimits.record(limit(STARTED, 6.3, 100), "r", 50);
        assertThat(mLimits.updateFor(1_000)).isPresent();
    }

    @Test
    void forgetsALimitThatIsNotConfirmed() {
        mLimits.record(limit(STARTED, 6.3, 100), "r", 50);
        mLimits.tick(60_000);
        assertThat(mLimits.find(U, STARTED)).isPresent();
        changes();
        mLimits.tick(60_101);
        assertThat(mLimits.find(U, STARTED)).isEmpty();
        assertThat(changes()).containsExactly(RateLimitChange.Kind.RATE_LIMIT_EXPIRED);
    }

    @Test
    void isBounded() {
        for (int i = 0; i < 5_000; i++) {
            mLimits.record(
                    new RateLimit(new UpstreamId("u" + i), STARTED, OptionalDouble.of(1), i),
                    "r",
                    0);
        }
        assertThat(mLimits.limitedCount()).isEqualTo(2_048);
        assertThat(mLimits.find(new UpstreamId("u4999"), STARTED)).isPresent();
    }
}
