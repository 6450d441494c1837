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

/** An equal part of each upstream's slots for each live instance of the upstream's domain. */
final class StaticShare implements SlotSource {
    /** How much load, as a part of the limit, a whole cached prefix makes up for. */
    private static final double AFFINITY_WEIGHT = 0.5;

    private final UpstreamTable mUpstreams;
    private final FailureDomain mDomain;
    private final Map<FailureDomain, Integer> mLiveRouters = new HashMap<>();
    private long mNowMillis;

    StaticShare(UpstreamTable upstreams, FailureDomain domain) {
        mUpstreams = upstreams;
        mDomain = domain;
    }

    void setView(FleetView view) {
        mLiveRouters.clear();
        for (RouterMember router : view.routers()) {
            if (router.state().takesNewWork()) {
                mLiveRouters.merge(router.domain(), 1, Integer::sum);
            }
        }
    }

    /** Sets the present time for the following searches. */
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

    /** Returns the slots of an upstream that this instance may use. */
    int share(Upstream upstream) {
        int limit = upstream.limit(mNowMillis);
        if (limit == 0) {
            return 0;
        }
        return Math.max(1, limit / mLiveRouters.getOrDefault(upstream.domain(), 1));
    }

    private List<Upstream> candidates(String target) {
        List<Upstream> serving = mUpstreams.serving(target);
        List<Upstream> near = new ArrayList<>();
        for (Upstream upstream : serving) {
            if (upstream.domain().equals(mDomain)) {
                near.add(upstream);
            }
        }
        return near.isEmpty() ? serving : near;
    }
}
