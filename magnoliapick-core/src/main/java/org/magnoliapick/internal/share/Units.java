package org.magnoliapick.internal.share;

/**
 * Clamps reported costs, so that sums of them stay exact and finite. Costs are in service units.
 */
final class Units {
    /** The maximum cost that one request is charged. */
    static final double MAX_REQUEST_UNITS = 1e8;

    /** The maximum of a counter, below the range where a double cannot hold every whole number. */
    static final double MAX_COUNTER_UNITS = 1e15;

    private Units() {}

    /** Returns the cost of one request clamped to its range; NaN and negative values become 0. */
    static double clampRequest(double units) {
        return clamp(units, MAX_REQUEST_UNITS);
    }

    /** Returns a counter clamped to its range; NaN and negative values become 0. */
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
