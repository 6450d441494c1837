package org.magnoliapick.limit;

import org.magnoliapick.route.ColdSpec;

/**
 * The rate at which this instance may send requests to an upstream while that is cold. It answers
 * the load of upstreams that start under traffic, which crash if all instances send to them at
 * once.
 *
 * <p>Two buckets have to hold a token. One is for the requests of the whole fleet and is charged
 * with what others report. The other one is for this instance's part, so that the sum holds also
 * where the reports of others are late or missing.
 */
public final class ColdRate {
    /**
     * The part of the rate below which unused tokens expire, since several instances would
     * otherwise use what they saved at the same time.
     */
    private static final double MIN_SAVING_SHARE = 0.75;

    private final ColdSpec mSpec;
    private final ColdBounds mBounds;
    private final TokenBucket mFleet;
    private final TokenBucket mOwn;

    /** Creates a rate without saved tokens, because another instance may just have used them. */
    public ColdRate(ColdSpec spec, ColdBounds bounds, ColdShare share, long nowMillis) {
        mSpec = spec;
        mBounds = bounds;
        // Less than a token: it only spreads the first requests of many instances.
        double ownTokens = expires(share) ? share.position() : 0;
        mFleet = new TokenBucket(fleetRate(share), share.dispatcher() ? 0 : ownTokens, nowMillis);
        mOwn = new TokenBucket(ownRate(share), ownTokens, nowMillis);
    }

    /** Sets the part that this instance decides. */
    public void setShare(ColdShare share, long nowMillis) {
        mFleet.setRate(fleetRate(share), nowMillis);
        mOwn.setRate(ownRate(share), nowMillis);
    }

    private BucketRate fleetRate(ColdShare share) {
        return mBounds.bucketRate(mSpec, share.fleet(), !share.dispatcher());
    }

    private BucketRate ownRate(ColdShare share) {
        return mBounds.bucketRate(mSpec, share.own(), expires(share));
    }

    private static boolean expires(ColdShare share) {
        return share.own() < MIN_SAVING_SHARE;
    }

    /** Returns what the upstream tolerates. */
    public ColdSpec spec() {
        return mSpec;
    }

    /** Takes the token of a request that this instance decided to send. */
    public void take(long nowMillis) {
        mFleet.take(1, nowMillis);
        mOwn.take(1, nowMillis);
    }

    /** Takes the tokens of requests that other instances decided to send. */
    public void charge(double starts, long nowMillis) {
        mFleet.take(starts, nowMillis);
    }

    /** Returns the time until a request may be sent, in milliseconds. */
    public long waitMillis(RecentStarts recent, long nowMillis) {
        return Math.max(
                recent.waitMillis(mBounds.windowLimit(mSpec), nowMillis),
                Math.max(mFleet.waitMillis(nowMillis), mOwn.waitMillis(nowMillis)));
    }

    /** Returns the rate in requests per millisecond. */
    public double perMilli() {
        return Math.min(mFleet.perMilli(), mOwn.perMilli());
    }
}
