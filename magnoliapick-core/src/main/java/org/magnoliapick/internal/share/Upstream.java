package org.magnoliapick.internal.share;

import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.TargetConfig;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.UpstreamMember;

/**
 * An upstream as one instance sees it: its membership, slot limit, ejection state, cache hints and
 * the requests that this instance runs there.
 */
final class Upstream {
    private UpstreamMember mMember;
    private final SlotLimit mSlotLimit = new SlotLimit();
    private final Ejection mEjection = new Ejection();
    private final CacheHints mCacheHints = new CacheHints();
    private int mInFlight;

    Upstream(UpstreamMember member) {
        mMember = member;
    }

    UpstreamId id() {
        return mMember.id();
    }

    FailureDomain domain() {
        return mMember.domain();
    }

    UpstreamMember member() {
        return mMember;
    }

    SlotLimit slotLimit() {
        return mSlotLimit;
    }

    Ejection ejection() {
        return mEjection;
    }

    CacheHints cacheHints() {
        return mCacheHints;
    }

    /** Returns the number of requests of this instance that run there. */
    int inFlight() {
        return mInFlight;
    }

    void addInFlight(int change) {
        mInFlight = Math.max(0, mInFlight + change);
    }

    void setMember(UpstreamMember member) {
        mMember = member;
    }

    /** Marks it as suspect because the view no longer lists it; it gets no new requests. */
    void markUnlisted() {
        mMember =
                new UpstreamMember(
                        mMember.id(),
                        mMember.domain(),
                        mMember.kind(),
                        mMember.targets(),
                        mMember.host(),
                        mMember.port(),
                        MemberState.SUSPECT);
    }

    /** Applies the settings of its targets; the smallest value of each setting counts. */
    void setConfig(FleetConfig config) {
        int max = Integer.MAX_VALUE;
        long gapMillis = Long.MAX_VALUE;
        for (String target : mMember.targets()) {
            TargetConfig settings = config.targets().get(target);
            if (settings != null) {
                max = Math.min(max, settings.maxConcurrentPerUpstream());
                gapMillis = Math.min(gapMillis, settings.tokenGapTargetMillis());
            }
        }
        mSlotLimit.setBounds(
                max == Integer.MAX_VALUE ? TargetConfig.DEFAULT_MAX_CONCURRENT : max,
                gapMillis == Long.MAX_VALUE ? 0 : gapMillis);
    }

    /** Returns whether new requests for a target may be started there. */
    boolean serves(String target) {
        return mMember.state().takesNewWork() && mMember.targets().contains(target);
    }

    /**
     * Returns the maximum number of concurrent requests of the whole fleet; 0 while it is ejected.
     */
    int limit(long nowMillis) {
        if (mEjection.isEjected(nowMillis)) {
            return 0;
        }
        double limit = mSlotLimit.limit(nowMillis) * mEjection.slotFactor(nowMillis);
        return Math.max(1, (int) Math.ceil(limit));
    }
}
