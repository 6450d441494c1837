package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.share.QueuedRequest;

/**
 * Slots from a static split: the slots of each upstream are divided equally among the live
 * instances of its failure domain. Upstreams of other domains are used only if the own one has
 * none.
 */
final class StaticShare implements SlotSource {
    /**
     * Weight of the cache hints against the load, a fraction of the share: a fully cached prefix,
     * or a loaded adapter, makes up for half of the share being in use.
     */
    private static final double AFFINITY_WEIGHT = 0.5;

    private final UpstreamTable mUpstreams;
    private final FailureDomain mDomain;
    private final Map<FailureDomain, Integer> mRoutersByDomain = new HashMap<>();
    private long mNowMillis;

    StaticShare(UpstreamTable upstreams, FailureDomain domain) {
        mUpstreams = upstreams;
        mDomain = domain;
    }

    void setView(FleetView view) {
        mRoutersByDomain.clear();
        for (RouterMember router : view.routers()) {
            if (router.state().takesNewWork()) {
                mRoutersByDomain.merge(router.domain(), 1, Integer::sum);
            }
        }
    }

    /** Sets the current time for the following calls of {@link #find}. */
    StaticShare at(long nowMillis) {
        mNowMillis = nowMillis;
        return this;
    }

    @Override
    public Optional<Upstream> find(QueuedRequest request) {
        Upstream best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (Upstream upstream : candidates(request.target())) {
            int share = share(upstream);
            if (upstream.inFlight() >= share || request.excluded().contains(upstream.id())) {
                continue;
            }
            double load = (double) upstream.inFlight() / share;
            double score = load - AFFINITY_WEIGHT * upstream.cacheHints().affinity(request);
            if (score < bestScore) {
                best = upstream;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the number of slots of an upstream that this instance may use. */
    int share(Upstream upstream) {
        int limit = upstream.limit(mNowMillis);
        if (limit == 0) {
            return 0;
        }
        return Math.max(1, limit / mRoutersByDomain.getOrDefault(upstream.domain(), 1));
    }

    private List<Upstream> candidates(String target) {
        List<Upstream> serving = mUpstreams.serving(target);
        List<Upstream> local = new ArrayList<>();
        for (Upstream upstream : serving) {
            if (upstream.domain().equals(mDomain)) {
                local.add(upstream);
            }
        }
        return local.isEmpty() ? serving : local;
    }
}
