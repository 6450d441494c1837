package org.magnoliapick.record;

/** How urgent the burning of an error budget is. */
public enum BurnState {
    /** The budget lasts. */
    OK(0),
    /** The budget will not last. */
    SLOW_BURN(3),
    /** The budget is used up within hours. */
    FAST_BURN(14.4);

    private final double mLeastRate;

    BurnState(double leastRate) {
        mLeastRate = leastRate;
    }

    /**
     * Judges by a short and a long window: both have to burn, so that neither a moment's burst nor
     * a fault long past raises an alarm.
     */
    public static BurnState of(double shortRate, double longRate) {
        double rate = Math.min(shortRate, longRate);
        if (rate >= FAST_BURN.mLeastRate) {
            return FAST_BURN;
        }
        return rate >= SLOW_BURN.mLeastRate ? SLOW_BURN : OK;
    }
}
