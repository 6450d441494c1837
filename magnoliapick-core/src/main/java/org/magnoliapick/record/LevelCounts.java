package org.magnoliapick.record;

import java.util.Optional;
import org.magnoliapick.config.Objective;

/**
 * Counts the requests that met and missed an objective.
 *
 * @param requests the number of requests that ended
 * @param failed the requests without a complete response
 * @param late the requests whose latency exceeded the objective
 * @param firstTokenLate the requests whose time to first token exceeded the objective
 * @param tokenGapLong the requests whose longest gap between tokens exceeded the objective
 * @param missed the requests that missed at least one part of the objective
 */
public record LevelCounts(
        long requests,
        long failed,
        long late,
        long firstTokenLate,
        long tokenGapLong,
        long missed) {
    /** Counts of zero requests. */
    public static final LevelCounts NONE = new LevelCounts(0, 0, 0, 0, 0, 0);

    /**
     * Returns the counts for one request. A request whose caller disconnected counts as neither met
     * nor missed.
     */
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

    /** Returns the sum of these counts and others. */
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
     * Returns the rate of error budget consumption: at 1 the budget is used up exactly at the end
     * of its period. Returns 0 if there were no requests.
     *
     * @param successRatio the fraction of requests that must meet the objective, less than 1
     */
    public double burnRate(double successRatio) {
        return requests == 0 ? 0 : (double) missed / requests / (1 - successRatio);
    }

    private static boolean exceeds(Optional<Long> measuredMillis, Optional<Long> objectiveMillis) {
        return measuredMillis.isPresent()
                && objectiveMillis.isPresent()
                && measuredMillis.get() > objectiveMillis.get();
    }

    private static long count(boolean isTrue) {
        return isTrue ? 1 : 0;
    }
}
