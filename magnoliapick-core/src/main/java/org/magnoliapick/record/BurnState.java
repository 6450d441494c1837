package org.magnoliapick.record;

/** Severity of the consumption of an error budget. */
public enum BurnState {
    /** Burn rate below 3 over at least one of the two windows: the budget is not at risk. */
    OK(0),
    /** Burn rate of at least 3: the budget will be used up in a third of its period or less. */
    SLOW_BURN(3),
    /**
     * Burn rate of at least 14.4: the budget will be used up within hours, such as 50 hours for a
     * budget of 30 days.
     */
    FAST_BURN(14.4);

    private final double mMinRate;

    BurnState(double minRate) {
        mMinRate = minRate;
    }

    /**
     * Returns the state for the burn rates over a short and a long window. Both must reach the
     * threshold, so that neither a short burst nor a failure that is over raises an alarm.
     */
    public static BurnState of(double shortRate, double longRate) {
        double rate = Math.min(shortRate, longRate);
        if (rate >= FAST_BURN.mMinRate) {
            return FAST_BURN;
        }
        return rate >= SLOW_BURN.mMinRate ? SLOW_BURN : OK;
    }
}
