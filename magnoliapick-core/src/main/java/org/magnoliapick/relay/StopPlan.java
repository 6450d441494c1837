package org.magnoliapick.relay;

import org.magnoliapick.route.Route;

/**
 * The timing of a graceful shutdown. Requests that arrive before the load balancer has detected the
 * shutdown are served; later ones are refused, since their answers would not be complete in time.
 */
public final class StopPlan {
    /**
     * How long new requests are accepted, in milliseconds. The load balancer probes once a second
     * and acts on two results, so later requests arrive only on connections that callers kept open.
     */
    private static final long ACCEPT_MILLIS = 2_500;

    /**
     * How long before the end of the grace period the remaining requests and connections are
     * closed, in milliseconds.
     */
    private static final long CLOSE_MARGIN_MILLIS = 300;

    private final long mStoppedAtMillis;
    private final long mGraceMillis;

    /**
     * Creates the plan of a shutdown.
     *
     * @param stoppedAtMillis when the instance was requested to stop
     * @param graceMillis how long the shutdown may take, in milliseconds
     */
    public StopPlan(long stoppedAtMillis, long graceMillis) {
        mStoppedAtMillis = stoppedAtMillis;
        mGraceMillis = graceMillis;
    }

    /** Returns whether new requests are accepted: for at most half of the grace period. */
    public boolean acceptsRequests(long nowMillis) {
        return nowMillis - mStoppedAtMillis < Math.min(ACCEPT_MILLIS, mGraceMillis / 2);
    }

    /**
     * Returns whether a request may be sent to an upstream, also one that waited since before. One
     * that may not be repeated has to have half of the grace period left.
     */
    public boolean maySend(Route route, long nowMillis) {
        return route.retryable() || nowMillis - mStoppedAtMillis < mGraceMillis / 2;
    }

    /** Returns whether the remaining requests and connections have to be closed now. */
    public boolean mustClose(long nowMillis) {
        return nowMillis - mStoppedAtMillis >= mGraceMillis - CLOSE_MARGIN_MILLIS;
    }
}
