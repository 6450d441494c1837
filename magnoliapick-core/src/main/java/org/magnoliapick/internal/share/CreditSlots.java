package org.magnoliapick.internal.share;

import java.util.Optional;
import java.util.function.Function;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.share.QueuedRequest;

/** Slots that this instance may use without a grant, within its standing credits. */
final class CreditSlots implements SlotSource {
    /**
     * Weight of the cache hints against the load, a fraction of the limit: a fully cached prefix,
     * or a loaded adapter, makes up for half of the limit being in use.
     */
    private static final double AFFINITY_WEIGHT = 0.5;

    /** Cost of another failure domain, expressed as load: a fraction of the limit. */
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

    /** Sets the current time for the following calls of {@link #find}. */
    CreditSlots at(long nowMillis) {
        mNowMillis = nowMillis;
        return this;
    }

    @Override
    public Optional<Upstream> find(QueuedRequest request) {
        Upstream best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (Upstream upstream : mUpstreams.serving(request.target())) {
            if (!mayStart(upstream, request)) {
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

    private boolean mayStart(Upstream upstream, QueuedRequest request) {
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
