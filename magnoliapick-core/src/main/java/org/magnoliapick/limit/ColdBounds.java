package org.magnoliapick.limit;

import org.magnoliapick.route.ColdSpec;

/**
 * How far the fleet may exceed the rate of a cold upstream in any one second: at most the rate
 * times the overage, plus the slack.
 *
 * @param overage the factor, at least 1
 * @param slack the number of requests, at least 0
 */
public record ColdBounds(double overage, double slack) {
    /** No excess, for deployments that state none. */
    public static final ColdBounds NONE = new ColdBounds(1, 0);

    /**
     * The part of the permitted excess that one bucket may save up. The rest is for requests that
     * are sent some time after the decision, and for the moment when another instance takes over.
     */
    private static final double BURST_PART = 0.25;

    /**
     * The part of the permitted excess up to which the requests of the past second may reach. The
     * rest is for requests of other instances that are not known here yet.
     */
    private static final double WINDOW_PART = 0.5;

    /** Returns the rate at which a share of the fleet may send to a cold upstream. */
    BucketRate bucketRate(ColdSpec spec, double share, boolean expires) {
        double burstMillis = 1_000 * BURST_PART * excess(spec) / spec.perSecond();
        return new BucketRate(spec.perSecond(), share, expires, burstMillis);
    }

    /** Returns the number of known requests in the past second from which on no other is sent. */
    double windowLimit(ColdSpec spec) {
        return spec.perSecond() + WINDOW_PART * excess(spec);
    }

    private double excess(ColdSpec spec) {
        return Math.max(0, (overage - 1) * spec.perSecond() + slack);
    }
}
