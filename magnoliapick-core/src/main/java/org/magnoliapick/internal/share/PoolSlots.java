package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.internal.share.RouterDemand.DemandEntry;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;

/** The taken and free slots of the upstreams of a pool, as its dispatcher counts them. */
final class PoolSlots {
    private final PoolId mPool;
    private final UpstreamTable mUpstreams;
    private final Map<UpstreamId, Integer> mTaken = new HashMap<>();
    private long mWarmUpEndMillis;

    PoolSlots(PoolId pool, UpstreamTable upstreams, long warmUpEndMillis) {
        mPool = pool;
        mUpstreams = upstreams;
        mWarmUpEndMillis = warmUpEndMillis;
    }

    /** Adds to the taken slots of an upstream; a negative change frees slots. */
    void addTaken(UpstreamId upstream, int change) {
        mTaken.merge(upstream, change, Integer::sum);
    }

    /**
     * Returns the number of free slots of an upstream. During warm-up not all instances have
     * reported yet, so the load report of the upstream counts as well if it is higher.
     */
    int freeSlots(Upstream upstream, long nowMillis) {
        int taken = mTaken.getOrDefault(upstream.id(), 0);
        if (nowMillis < mWarmUpEndMillis) {
            taken = Math.max(taken, upstream.slotLimit().reportedRequests(nowMillis));
        }
        return upstream.limit(nowMillis) - taken;
    }

    /** Returns the upstreams of the pool that have a free slot. */
    List<Upstream> withFreeSlot(long nowMillis) {
        List<Upstream> found = new ArrayList<>();
        for (Upstream upstream : mUpstreams.all()) {
            if (upstream.domain().equals(mPool.domain())
                    && upstream.member().state().takesNewWork()
                    && freeSlots(upstream, nowMillis) > 0) {
                found.add(upstream);
            }
        }
        return found;
    }

    /**
     * Chooses an upstream for a queue among those with free slots: the preferred one, else the
     * least loaded one. Upstreams that the instance has declined are skipped.
     */
    Optional<Upstream> choose(DemandEntry entry, List<Upstream> free, long nowMillis) {
        Optional<UpstreamId> preferred = entry.demand().preferred();
        Upstream best = null;
        double bestLoad = Double.POSITIVE_INFINITY;
        for (Upstream upstream : free) {
            if (!upstream.serves(entry.key().target())
                    || entry.router().declines(upstream.id(), nowMillis)) {
                continue;
            }
            if (preferred.isPresent() && preferred.get().equals(upstream.id())) {
                return Optional.of(upstream);
            }
            double load =
                    mTaken.getOrDefault(upstream.id(), 0) / (double) upstream.limit(nowMillis);
            if (load < bestLoad) {
                best = upstream;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best);
    }
}
