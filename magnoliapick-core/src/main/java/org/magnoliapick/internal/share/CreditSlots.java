package org.magnoliapick.internal.share;

import java.util.Optional;
import java.util.function.Function;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.share.QueuedRequest;

/** The slots that standing credits allow this instance to take without asking. */
final class CreditSlots implements SlotSource {
    /** How much load, as a part of the limit, a whole cached prefix makes up for. */
    private static final double AFFINITY_WEIGHT = 0.5;

    /** How much load, as a part of the limit, another failure domain costs. */
    private static final double DISTANCE_WEIGHT = 1.0;

    private final UpstreamTable mUpstreams;
    private final FailureDomain mDomain;
    private final Function<Upstream, PoolClient> mClients;
    private long mNowMillis;

    CreditSlots(
            UpstreamTable upstreams, FailureDomain domain, Function<Upstream, PoolClient> clients) {
        mUpstreams = upstreams;
        mDomain = domain;
        mClients = clients;
    }

    /** Sets the present time for the following searches. */
    CreditSlots at(long nowMillis) {
        mNowMillis = nowMillis;
        return this;
    }

    @Override
    public Optional<Upstream> find(QueuedRequest request) {
        Upstream best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (Upstream upstream : mUpstreams.serving(request.target())) {
            if (!free(upstream, request)) {
                continue;
            }
            double score = score(upstream, request);
            if (score < bestScore) {
                best = upstream;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean free(Upstream upstream, QueuedRequest request) {
        return mClients.apply(upstream).hasCredit(upstream.id(), mNowMillis)
                && upstream.inFlight() < upstream.limit(mNowMillis)
                && !request.excluded().contains(upstream.id());
    }

    private double score(Upstream upstream, QueuedRequest request) {
        double load = (double) upstream.inFlight() / upstream.limit(mNowMillis);
        double distance = upstream.domain().equals(mDomain) ? 0 : DISTANCE_WEIGHT;
        return load + distance - AFFINITY_WEIGHT * upstream.cacheHints().affinity(request);
    }
}
