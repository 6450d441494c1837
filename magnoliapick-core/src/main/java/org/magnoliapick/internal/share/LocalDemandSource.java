package org.magnoliapick.internal.share;

import java.util.Optional;
import org.magnoliapick.internal.share.RouterDemand.DemandKey;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.share.QueuedRequest;

/** Takes the values for demand messages from the queues and upstreams of this instance. */
final class LocalDemandSource implements PoolClient.DemandSource {
    private final QueueTable mQueues;
    private final CostEstimator mCosts;
    private final UpstreamTable mUpstreams;

    LocalDemandSource(QueueTable queues, CostEstimator costs, UpstreamTable upstreams) {
        mQueues = queues;
        mCosts = costs;
        mUpstreams = upstreams;
    }

    @Override
    public Optional<WaitingRequest> head(DemandKey key) {
        return mQueues.head(key.target(), key.workspace());
    }

    @Override
    public double estimateUnits(WaitingRequest waiting) {
        return mCosts.estimate(waiting.request());
    }

    @Override
    public Optional<UpstreamId> preferred(PoolId pool, WaitingRequest waiting) {
        QueuedRequest request = waiting.request();
        if (request.prefixHashes().isEmpty() && request.adapter().isEmpty()) {
            return Optional.empty();
        }
        UpstreamId best = null;
        double bestAffinity = 0;
        for (Upstream upstream : mUpstreams.serving(request.target())) {
            double affinity = upstream.cacheHints().affinity(request);
            if (affinity > bestAffinity && upstream.domain().equals(pool.domain())) {
                best = upstream.id();
                bestAffinity = affinity;
            }
        }
        return Optional.ofNullable(best);
    }

    @Override
    public long gapMillis(UpstreamId upstream) {
        return mUpstreams.find(upstream).map(known -> known.slotLimit().gapMillis()).orElse(0L);
    }
}
