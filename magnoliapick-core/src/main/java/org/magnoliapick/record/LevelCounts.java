package org.magnoliapick.record;

import java.util.Optional;
import org.magnoliapick.config.Objective;

/**
 * Counts the requests that met and missed an objective.
 *
 * @param requests the requests that ended
 * @param failed those without a whole answer
 * @param late those whose whole answer came later than wanted
 * @param firstTokenLate those whose first token came later than wanted
 * @param tokenGapLong those with a longer time between tokens than wanted
 * @param missed those that missed at least one part of the objective
 */
public record LevelCounts(
        long requests,
        long failed,
        long late,
        long firstTokenLate,
        long tokenGapLong,
        long missed) {
    /** No requests. */
    public static final LevelCounts NONE = new LevelCounts(0, 0, 0, 0, 0, 0);

    /** Counts one request. A request that its caller gave up counts as neither met nor missed. */
    public static LevelCounts of(RequestEnd end, Objective objective) {
        if (end.cause() == Cause.CALLER_GONE) {
            return NONE;
        }
        boolean isFailed = end.cause() != Cause.COMPLETED;
        boolean isLate = exceeds(Optional.of(end.latencyMillis()), objective.latencyMillis());
        boolean isFirstLate = exceeds(end.firstTokenMillis(), objective.firstTokenMillis());
        boolean isGapLong = exceeds(end.tokenGapMillis(), objective.tokenGapMillis());
        boolean isMissed = isFailed || isLate || isFirstLate || isGapLong;
        return new LevelCounts(
                1,
                count(isFailed),
                count(isLate),
                count(isFirstLate),
                count(isGapLong),
                count(isMissed));
    }

    /** Adds the counts of other requests. */
    public LevelCounts plus(LevelCounts other) {
        return new LevelCounts(
                requests + other.requests,
                failed + other.failed,
                late + other.late,
                firstTokenLate + other.firstTokenLate,
                tokenGapLong + other.tokenGapLong,
                missed + other.missed);
    }

    /**
     * Returns how fast the error budget burns: 1 uses it up exactly in the time it is for. Without
     * requests nothing burns.
     */
    public double burnRate(double successRatio) {
        return requests == 0 ? 0 : (double) missed / requests / (1 - successRatio);
    }

    private static boolean exceeds(Optional<Long> measuredMillis, Optional<Long> wantedMillis) {
        return measuredMillis.isPresent()
                && wantedMillis.isPresent()
                && measuredMillis.get() > wantedMillis.get();
    }

    private static long count(boolean isTrue) {
        return isTrue ? 1 : 0;
    }
}
