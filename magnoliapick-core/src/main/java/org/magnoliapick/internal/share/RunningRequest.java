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
    private long mLastProgressMillis;

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

    /** Returns the pool that its slot belongs to, or empty if the policy has no pools. */
    Optional<PoolId> pool() {
        return mPool;
    }

    void setPool(PoolId pool) {
        mPool = Optional.of(pool);
    }

    double estimateUnits() {
        return mEstimateUnits;
    }

    /** Returns the service used so far, in service units. */
    double usedUnits() {
        return mUsedUnits;
    }

    /** Returns the service that it is still expected to use, in service units. */
    double remainingUnits() {
        return Math.max(0, mEstimateUnits - mUsedUnits);
    }

    /**
     * Updates the service used so far; a lower value than before is ignored.
     *
     * @return the increase in service units, at least 0
     */
    double updateUsed(double usedUnits) {
        double increase = Math.max(0, Units.clampRequest(usedUnits) - mUsedUnits);
        mUsedUnits += increase;
        return increase;
    }

    /** Returns the time since the previous call in milliseconds, 0 at the first call. */
    long sinceProgressMillis(long nowMillis) {
        long elapsed = mLastProgressMillis == 0 ? 0 : nowMillis - mLastProgressMillis;
        mLastProgressMillis = nowMillis;
        return Math.max(0, elapsed);
    }
}
