package org.magnoliapick.pool;

import java.util.HashMap;
import java.util.Map;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.ColdShare;

/**
 * Determines which part of the requests to cold upstreams this instance decides. An instance that
 * was cut off decides by itself much sooner than its dispatcher misses its messages otherwise, so a
 * dispatcher only counts instances whose reports are recent.
 */
final class ColdShares {
    /**
     * The time without a report after which an instance may decide by itself, in milliseconds:
     * several periods of the reports to a dispatcher, some of which may be lost.
     */
    private static final long REPORT_TIMEOUT_MILLIS = 500;

    /** The time for which the number of recent reports is not determined again, in ms. */
    private static final long CACHE_MILLIS = 50;

    /**
     * How far a dispatcher may exceed its part, if others use less of theirs. What they use is
     * known from their reports.
     */
    private static final double MAX_FACTOR = 1.25;

    /** Spreads the hashes of similar names: the golden ratio of the range of an integer. */
    private static final int HASH_FACTOR = 0x9e3779b9;

    private final Map<InstanceId, Long> mReportedMillis = new HashMap<>();
    private FleetShare mFleetShare = FleetShare.WHOLE;
    private ColdShare mShare = ColdShare.WHOLE;
    private long mUpdatedMillis = Long.MIN_VALUE / 2;

    /** Records a report of an instance for which this one may decide. */
    void reportReceived(InstanceId instance, long nowMillis) {
        mReportedMillis.put(instance, nowMillis);
    }

    /** Sets the part of the fleet for which this instance decides. */
    void setFleetShare(FleetShare share) {
        mFleetShare = share;
        mUpdatedMillis = Long.MIN_VALUE / 2;
    }

    /** Determines the share; returns whether it changed. */
    boolean update(long nowMillis) {
        if (nowMillis - mUpdatedMillis < CACHE_MILLIS) {
            return false;
        }
        mUpdatedMillis = nowMillis;
        mReportedMillis.values().removeIf(each -> nowMillis - each > REPORT_TIMEOUT_MILLIS);
        ColdShare before = mShare;
        mShare = compute();
        return !before.equals(mShare);
    }

    private ColdShare compute() {
        double part = 1.0 / mFleetShare.knownCount();
        if (!mFleetShare.dispatcher()) {
            return new ColdShare(part, part, false, mFleetShare.position());
        }
        double own = MAX_FACTOR * Math.min(1, (1 + mReportedMillis.size()) * part);
        return new ColdShare(mFleetShare.fraction(), own, true, mFleetShare.position());
    }

    /**
     * Returns the share at an upstream. The position differs for each, so that an instance does not
     * get its tokens for all upstreams at the same time.
     */
    ColdShare share(UpstreamId upstream) {
        double shift = (upstream.hashCode() * HASH_FACTOR >>> 1) / (double) Integer.MAX_VALUE;
        return new ColdShare(
                mShare.fleet(), mShare.own(), mShare.dispatcher(), (mShare.position() + shift) % 1);
    }
}
