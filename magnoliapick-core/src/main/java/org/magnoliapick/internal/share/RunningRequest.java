package org.magnoliapick.internal.share;

import java.util.Optional;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.share.QueuedRequest;

/** A request that was started and has not ended. */
final class RunningRequest {
    private final QueuedRequest mRequest;
    private final Upstream mUpstream;
    private final double mEstimateUnits;
    private Optional<PoolId> mPool = Optional.empty();
    private double mUsedUnits;
    private long mUsedMillis;

    RunningRequest(QueuedRequest request, Upstream upstream, double estimateUnits) {
        mRequest = request;
        mUpstream = upstream;
        mEstimateUnits = estimateUnits;
    }

    QueuedRequest request() {
        return mRequest;
    }

    Upstream upstream() {
        return mUpstream;
    }

    /** Returns the pool that its slot belongs to, where the policy has pools. */
    Optional<PoolId> pool() {
        return mPool;
    }

    void setPool(PoolId pool) {
        mPool = Optional.of(pool);
    }

    double estimateUnits() {
        return mEstimateUnits;
    }

    /** Returns what it has used so far, in service units. */
    double usedUnits() {
        return mUsedUnits;
    }

    /** Returns what it is still expected to use, in service units. */
    double remainingUnits() {
        return Math.max(0, mEstimateUnits - mUsedUnits);
    }

    /** Takes what it has used so far; returns the increase, which is never negative. */
    double updateUsed(double usedUnits) {
        double increase = Math.max(0, Units.clampRequest(usedUnits) - mUsedUnits);
        mUsedUnits += increase;
        return increase;
    }

    /** Returns the time since the previous call in milliseconds, or 0 at the first one. */
    long sinceProgressMillis(long nowMillis) {
        long lap = mUsedMillis == 0 ? 0 : nowMillis - mUsedMillis;
        mUsedMillis = nowMillis;
        return Math.max(0, lap);
    }
}
