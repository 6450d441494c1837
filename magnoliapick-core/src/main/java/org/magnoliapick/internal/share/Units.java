package org.magnoliapick.internal.share;

/** Makes reported costs safe to add up. Costs are in service units. */
final class Units {
    /** The largest cost that one request can be charged. */
    static final double MAX_REQUEST_UNITS = 1e8;

    /** The largest value of a counter; far below the range where a double loses whole units. */
    static final double MAX_COUNTER_UNITS = 1e15;

    private Units() {}

    /** Returns the cost of one request within its range; not a number and negatives become 0. */
    static double clampRequest(double units) {
        return clamp(units, MAX_REQUEST_UNITS);
    }

    /** Returns a counter within its range; not a number and negatives become 0. */
    static double clampCounter(double units) {
        return clamp(units, MAX_COUNTER_UNITS);
    }

    private static double clamp(double units, double max) {
        if (!(units > 0)) {
            return 0;
        }
        return Math.min(units, max);
    }
}
