package org.magnoliapick.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.limit.BucketRate;
import org.magnoliapick.limit.TokenBucket;

/**
 * The rate limit of one upstream and the requests that count against it: those that this instance
 * decides to send there, and those that others report to have decided.
 */
final class UpstreamRate {
    /** The tokens for further requests; absent unless the upstream is rate-limited. */
    private Optional<TokenBucket> mBucket = Optional.empty();

    /** Requests that this instance decided to send while the upstream was rate-limited. */
    private long mOwnStarts;

    /** The same of the instances for which this one decides, as they reported. */
    private long mReportedStarts;

    /** The last number that each other instance reported and that was charged to the bucket. */
    private final Map<InstanceId, Long> mChargedStarts = new HashMap<>();

    /**
     * Sets the limit.
     *
     * @param perSecond the limit in requests per second; absent if there is none
     * @param share the part of the fleet that this instance decides for
     */
    void set(OptionalDouble perSecond, FleetShare share, long nowMillis) {
        if (perSecond.isEmpty()) {
            mBucket = Optional.empty();
            mOwnStarts = 0;
            mReportedStarts = 0;
            mChargedStarts.clear();
            return;
        }
        BucketRate rate =
                new BucketRate(perSecond.getAsDouble(), share.fraction(), !share.dispatcher());
        mBucket.ifPresentOrElse(
                bucket -> bucket.setRate(rate, nowMillis),
                () -> {
                    double tokens = share.dispatcher() ? 0 : share.position();
                    mBucket = Optional.of(new TokenBucket(rate, tokens, nowMillis));
                });
    }

    /** Returns whether the limit allows another request now. */
    boolean hasToken(long nowMillis) {
        return mBucket.isEmpty() || mBucket.get().hasToken(nowMillis);
    }

    /** Records the decision to send a request. */
    void takeToken(long nowMillis) {
        mBucket.ifPresent(
                bucket -> {
                    bucket.take(1, nowMillis);
                    mOwnStarts++;
                });
    }

    /** Returns the rate that is allowed here in requests per millisecond; absent if not limited. */
    OptionalDouble requestsPerMilli() {
        return mBucket.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(mBucket.get().perMilli());
    }

    /** Returns the time until the limit allows another request, in milliseconds. */
    long waitMillis(long nowMillis) {
        return mBucket.map(bucket -> bucket.waitMillis(nowMillis)).orElse(0L);
    }

    /**
     * Charges the requests that another instance decided to send since its previous report. One
     * that reports fewer than before has restarted.
     *
     * @param reportedStarts the number that it reports
     * @param aggregate whether it reports for all instances for which it decides
     */
    void charge(InstanceId instance, long reportedStarts, boolean aggregate, long nowMillis) {
        if (mBucket.isEmpty()) {
            return;
        }
        Long charged = mChargedStarts.put(instance, reportedStarts);
        boolean continued = charged != null && charged <= reportedStarts;
        long starts = reportedStarts - (continued ? charged : 0);
        mBucket.get().take(starts, nowMillis);
        mReportedStarts += aggregate ? 0 : starts;
    }

    /** Returns how many requests this instance decided to send since the limit began. */
    long ownStarts() {
        return mOwnStarts;
    }

    /** Returns the same of this instance and of all those for which it decides. */
    long aggregateStarts() {
        return mOwnStarts + mReportedStarts;
    }
}
