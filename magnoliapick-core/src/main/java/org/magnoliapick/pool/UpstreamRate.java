package org.magnoliapick.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.limit.BucketRate;
import org.magnoliapick.limit.ColdBounds;
import org.magnoliapick.limit.ColdRate;
import org.magnoliapick.limit.ColdShare;
import org.magnoliapick.limit.ColdUpstreams;
import org.magnoliapick.limit.RecentStarts;
import org.magnoliapick.limit.TokenBucket;
import org.magnoliapick.route.ColdSpec;

/**
 * The rate limits of one upstream and the requests that count against them: those that this
 * instance decides to send there, and those that others report to have decided. The upstream may
 * name a limit, and another one applies while it is cold; the lower one is effective.
 */
final class UpstreamRate {
    /**
     * The time for which requests that were reported after a silence are charged to the rate of a
     * cold upstream, in milliseconds: the longest period of reports. Older ones are in the past.
     */
    private static final double MAX_CHARGED_MILLIS = 200;

    /** The time whose requests count as sent recently, in milliseconds. */
    private static final double RECENT_MILLIS = 1_000;

    /**
     * The remaining time below which a cold state does not count in estimates of throughput, in
     * milliseconds; it ends before most of the requests that wait now are late.
     */
    private static final long SHORT_COLD_MILLIS = 500;

    /** The tokens for further requests; absent unless the upstream is rate-limited. */
    private Optional<TokenBucket> mBucket = Optional.empty();

    /** What the upstream tolerates while it is cold; absent if it has no cold state. */
    private Optional<ColdSpec> mColdSpec = Optional.empty();

    private ColdBounds mColdBounds = ColdBounds.NONE;

    /** The rate while the upstream is cold; absent if it is not. */
    private Optional<ColdRate> mColdRate = Optional.empty();

    private long mColdEndMillis;
    private final RecentStarts mRecentStarts = new RecentStarts();

    /**
     * Requests that this instance decided to send while the upstream was rate-limited, or all if it
     * has a cold state, since that may begin at any time.
     */
    private long mOwnStarts;

    /** The same of the instances for which this one decides, as they reported. */
    private long mReportedStarts;

    /** The last number that each other instance reported and that was charged to the bucket. */
    private final Map<InstanceId, Charged> mCharged = new HashMap<>();

    /**
     * Sets the limit that the upstream named.
     *
     * @param perSecond the limit in requests per second; absent if there is none
     * @param share the part of the fleet that this instance decides for
     */
    void set(OptionalDouble perSecond, FleetShare share, long nowMillis) {
        if (perSecond.isEmpty()) {
            mBucket = Optional.empty();
            if (mColdSpec.isEmpty()) {
                mOwnStarts = 0;
                mReportedStarts = 0;
                mCharged.clear();
            }
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

    /**
     * Sets what the upstream tolerates while it is cold.
     *
     * @param spec the rate; absent if it has no cold state
     * @param bounds how far the rate may be exceeded
     */
    void setColdSpec(Optional<ColdSpec> spec, ColdBounds bounds) {
        if (!mColdSpec.equals(spec)) {
            mColdRate = Optional.empty();
        }
        mColdSpec = spec;
        mColdBounds = bounds;
    }

    /**
     * Sets whether the upstream is cold.
     *
     * @param endMillis when that ends; absent if it is not cold
     * @param share the part of the requests that this instance decides
     */
    void setCold(OptionalLong endMillis, ColdShare share, long nowMillis) {
        mColdEndMillis = endMillis.orElse(Long.MIN_VALUE);
        if (mColdSpec.isEmpty() || mColdEndMillis <= nowMillis) {
            mColdRate = Optional.empty();
            return;
        }
        mColdRate.ifPresentOrElse(
                rate -> rate.setShare(share, nowMillis),
                () ->
                        mColdRate =
                                Optional.of(
                                        new ColdRate(
                                                mColdSpec.get(), mColdBounds, share, nowMillis)));
    }

    private boolean isCold(long nowMillis) {
        return mColdRate.isPresent() && nowMillis < mColdEndMillis;
    }

    /** Returns whether the limits allow another request now. */
    boolean hasToken(long nowMillis) {
        return waitMillis(nowMillis) == 0;
    }

    /** Returns whether a request may be sent that was decided some time ago. */
    boolean mayBeSent(long ageMillis, long nowMillis) {
        return !isCold(nowMillis) || ageMillis <= ColdUpstreams.MAX_SEND_DELAY_MILLIS;
    }

    /** Records the decision to send a request. */
    void takeToken(long nowMillis) {
        mBucket.ifPresent(bucket -> bucket.take(1, nowMillis));
        if (mBucket.isPresent() || mColdSpec.isPresent()) {
            mOwnStarts++;
        }
        if (mColdSpec.isPresent()) {
            mRecentStarts.add(1, nowMillis);
        }
        mColdRate.ifPresent(rate -> rate.take(nowMillis));
    }

    /** Returns the rate that is allowed here in requests per millisecond; absent if not limited. */
    OptionalDouble requestsPerMilli(long nowMillis) {
        boolean cold = isCold(nowMillis) && mColdEndMillis - nowMillis >= SHORT_COLD_MILLIS;
        if (mBucket.isEmpty() && !cold) {
            return OptionalDouble.empty();
        }
        double limit = mBucket.map(TokenBucket::perMilli).orElse(Double.POSITIVE_INFINITY);
        return OptionalDouble.of(cold ? Math.min(limit, mColdRate.get().perMilli()) : limit);
    }

    /** Returns the time until the limits allow another request, in milliseconds. */
    long waitMillis(long nowMillis) {
        long limitMillis = mBucket.map(bucket -> bucket.waitMillis(nowMillis)).orElse(0L);
        if (!isCold(nowMillis)) {
            return limitMillis;
        }
        long coldMillis = mColdRate.get().waitMillis(mRecentStarts, nowMillis);
        return Math.max(limitMillis, Math.min(coldMillis, mColdEndMillis - nowMillis));
    }

    /**
     * Charges the requests that another instance decided to send since its previous report. One
     * that reports fewer than before has restarted.
     *
     * @param reportedStarts the number that it reports
     * @param aggregate whether it reports for all instances for which it decides
     */
    void charge(InstanceId instance, long reportedStarts, boolean aggregate, long nowMillis) {
        if (mBucket.isEmpty() && mColdSpec.isEmpty()) {
            return;
        }
        Charged before = mCharged.put(instance, new Charged(reportedStarts, nowMillis));
        boolean continued = before != null && before.starts() <= reportedStarts;
        if (before == null && mColdSpec.isPresent()) {
            // The count is not limited to a recent time, and other instances charged it.
            return;
        }
        long starts = reportedStarts - (continued ? before.starts() : 0);
        mBucket.ifPresent(bucket -> bucket.take(starts, nowMillis));
        mReportedStarts += aggregate ? 0 : starts;
        if (mColdSpec.isPresent()) {
            double silenceMillis = Math.max(1, nowMillis - before.atMillis());
            mRecentStarts.add(starts * Math.min(1, RECENT_MILLIS / silenceMillis), nowMillis);
            double charged = starts * Math.min(1, MAX_CHARGED_MILLIS / silenceMillis);
            mColdRate.ifPresent(rate -> rate.charge(charged, nowMillis));
        }
    }

    /** Records that another instance reported no use, so that its first requests are charged. */
    void reportedNothing(InstanceId instance, long nowMillis) {
        if (mColdSpec.isPresent()) {
            mCharged.compute(
                    instance,
                    (id, each) -> new Charged(each == null ? 0 : each.starts(), nowMillis));
        }
    }

    /** Returns whether a number of requests that were decided is of use to other instances. */
    boolean isReported(long starts, long nowMillis) {
        return starts > 0 && (mBucket.isPresent() || isCold(nowMillis));
    }

    /** Returns how many requests this instance decided to send since the limit began. */
    long ownStarts() {
        return mOwnStarts;
    }

    /** Returns the same of this instance and of all those for which it decides. */
    long aggregateStarts() {
        return mOwnStarts + mReportedStarts;
    }

    /** The number of requests that an instance reported, and when. */
    private record Charged(long starts, long atMillis) {}
}
