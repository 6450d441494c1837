package org.magnoliapick.limit;

/**
 * A token bucket for the requests that are sent to a rate-limited upstream. Requests that other
 * instances decided are charged when they are reported, so the bucket may be in debt, and the mean
 * rate holds however late the reports are.
 */
public final class TokenBucket {
    /** The time whose tokens a debt may amount to; older requests no longer matter, in ms. */
    private static final long MAX_DEBT_MILLIS = 4_000;

    /**
     * The rate at which an upstream that takes less gets requests anyway, per second. Its limit
     * only ends with a response.
     */
    private static final double MIN_PER_SECOND = 0.2;

    private double mPerMilli;
    private boolean mExpires;
    private double mBurstMillis;
    private double mTokens;
    private long mFilledMillis;

    /**
     * Creates a bucket.
     *
     * @param rate the rate
     * @param tokens the tokens that it contains at first
     */
    public TokenBucket(BucketRate rate, double tokens, long nowMillis) {
        mTokens = tokens;
        mFilledMillis = nowMillis;
        setRate(rate, nowMillis);
    }

    /** Sets the rate; the tokens until now are those of the former one. */
    public void setRate(BucketRate rate, long nowMillis) {
        refill(nowMillis);
        mPerMilli = Math.max(MIN_PER_SECOND, rate.perSecond()) * rate.share() / 1_000;
        mExpires = rate.expires();
        mBurstMillis = rate.burstMillis();
        mTokens = Math.min(mTokens, capacity());
    }

    private double capacity() {
        return mExpires ? 1 + mPerMilli * mBurstMillis : Math.max(1, mPerMilli * mBurstMillis);
    }

    private void refill(long nowMillis) {
        mTokens += mPerMilli * Math.max(0, nowMillis - mFilledMillis);
        mFilledMillis = Math.max(mFilledMillis, nowMillis);
        if (mTokens > capacity()) {
            mTokens = mExpires ? mTokens % capacity() : capacity();
        }
    }

    /** Returns whether a request may be sent now. */
    public boolean hasToken(long nowMillis) {
        refill(nowMillis);
        return mTokens >= 1;
    }

    /** Takes the tokens of requests that are sent, or were sent by other instances. */
    public void take(double requests, long nowMillis) {
        refill(nowMillis);
        mTokens = Math.max(mTokens - requests, -mPerMilli * MAX_DEBT_MILLIS - 1);
    }

    /** Returns the time until a request may be sent, in milliseconds. */
    public long waitMillis(long nowMillis) {
        return hasToken(nowMillis) ? 0 : (long) Math.ceil((1 - mTokens) / mPerMilli);
    }

    /** Returns the rate in requests per millisecond. */
    public double perMilli() {
        return mPerMilli;
    }
}
