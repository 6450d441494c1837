package org.magnoliapick.pool;

import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.ColdShare;

/** Determines which part of the requests to a cold upstream this instance decides. */
final class ColdShares {
    /**
     * How far a dispatcher may exceed its part, if others use less of theirs. What they use is
     * known from their reports.
     */
    private static final double MAX_FACTOR = 1.25;

    /** Spreads the hashes of similar names: the golden ratio of the range of an integer. */
    private static final int HASH_FACTOR = 0x9e3779b9;

    private ColdShares() {}

    /**
     * Returns the part that this instance decides. An instance that is cut off decides by itself
     * long before its dispatcher counts it as unreachable, so a dispatcher uses the part of those
     * that it heard of recently.
     */
    static ColdShare of(FleetShare share, UpstreamId upstream) {
        double part = 1.0 / share.knownCount();
        double position = position(share, upstream);
        if (!share.dispatcher()) {
            return new ColdShare(part, part, false, position);
        }
        double own = MAX_FACTOR * Math.min(1, share.recentCount() * part);
        return new ColdShare(share.fraction(), own, true, position);
    }

    /**
     * Returns a position that differs for each upstream, so that an instance does not get its
     * tokens for all upstreams at the same time.
     */
    private static double position(FleetShare share, UpstreamId upstream) {
        double shift = (upstream.hashCode() * HASH_FACTOR >>> 1) / (double) Integer.MAX_VALUE;
        return (share.position() + shift) % 1;
    }
}
