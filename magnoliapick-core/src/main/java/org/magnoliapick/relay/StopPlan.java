package org.magnoliapick.relay;

/**
 * What a stopping instance still does. Callers that come while the balancer has not noticed yet are
 * served; later ones are refused, since their answers would not be whole before the end.
 */
public final class StopPlan {
    /**
     * How long new requests are taken, in milliseconds: the balancer asks once a second and goes by
     * two answers, so what comes later comes on connections that callers kept.
     */
    private static final long TAKING_MILLIS = 2_500;

    /** How long before the end of its time what is left is closed, in milliseconds. */
    private static final long MARGIN_MILLIS = 300;

    private final long mStoppedAtMillis;
    private final long mGraceMillis;

    /**
     * Creates the plan of a stop.
     *
     * @param stoppedAtMillis when the instance was told to stop
     * @param graceMillis how long it may take
     */
    public StopPlan(long stoppedAtMillis, long graceMillis) {
        mStoppedAtMillis = stoppedAtMillis;
        mGraceMillis = graceMillis;
    }

    /** Returns whether new requests are taken. */
    public boolean acceptsRequests(long nowMillis) {
        return nowMillis - mStoppedAtMillis < Math.min(TAKING_MILLIS, mGraceMillis / 2);
    }

    /** Returns whether what is left has to be closed now. */
    public boolean mustClose(long nowMillis) {
        return nowMillis - mStoppedAtMillis >= mGraceMillis - MARGIN_MILLIS;
    }
}
