package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.ColdBounds;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.route.ColdSpec;
import org.magnoliapick.route.EngineSpec;
import org.magnoliapick.route.ServiceSpec;

/** The loads of a pool's upstreams, with their rate limits and the prompts that prefer them. */
final class PoolLoads {
    /** Fraction of its time that a fully loaded engine spends on prefill. */
    private static final double PREFILL_TIME_FRACTION = 0.7;

    /**
     * How long the load of an upstream that may not be used is kept, in milliseconds. It may be
     * used again when an evacuation ends; until then its requests in progress still end, and a new
     * load would forget these and how far the rate limit is used up.
     */
    private static final long KEEP_UNUSED_MILLIS = 600_000;

    private final Map<UpstreamId, UpstreamLoad> mLoads = new HashMap<>();
    private final Map<UpstreamId, UnusedLoad> mUnused = new HashMap<>();
    private final PreferredUpstreams mPreferred = new PreferredUpstreams();
    private final RateLimits mRateLimits;

    private final ColdBounds mColdBounds;
    private Optional<ColdSpec> mColdSpec = Optional.empty();

    /** The change count of the rate limits that the loads have. */
    private long mRateLimitChanges;

    private FleetShare mShare = FleetShare.WHOLE;

    PoolLoads(RateLimits rateLimits, ColdBounds coldBounds) {
        mRateLimits = rateLimits;
        mColdBounds = coldBounds;
    }

    /** Applies the configuration of the service. */
    void configure(ServiceSpec service) {
        mColdSpec = service.cold();
        // The limits are set again when they are needed next.
        mRateLimitChanges = -1;
    }

    /**
     * Sets the upstreams that may get new requests.
     *
     * @param engine what the upstreams are like if they are model engines
     */
    void setUpstreams(List<ListedUpstream> upstreams, Optional<EngineSpec> engine, long nowMillis) {
        Map<UpstreamId, ListedUpstream> byId = new HashMap<>();
        upstreams.forEach(each -> byId.put(each.id(), each));
        setUnusedAside(byId.keySet(), nowMillis);
        byId.forEach(
                (id, upstream) -> {
                    UnusedLoad unused = mUnused.remove(id);
                    UpstreamLoad known = unused == null ? mLoads.get(id) : unused.load();
                    if (known != null && known.upstream().sameIncarnation(upstream)) {
                        known.setUpstream(upstream);
                        mLoads.put(id, known);
                    } else {
                        mLoads.put(id, new UpstreamLoad(upstream, engine));
                    }
                });
        applyRateLimits(nowMillis);
    }

    private void setUnusedAside(Set<UpstreamId> used, long nowMillis) {
        mUnused.values().removeIf(each -> nowMillis - each.sinceMillis() > KEEP_UNUSED_MILLIS);
        mLoads.values()
                .removeIf(
                        load -> {
                            UpstreamId id = load.upstream().id();
                            if (used.contains(id)) {
                                return false;
                            }
                            mUnused.put(id, new UnusedLoad(load, nowMillis));
                            return true;
                        });
    }

    /** Sets the part of the fleet for which this instance decides. */
    void setShare(FleetShare share, long nowMillis) {
        if (!share.equals(mShare)) {
            mShare = share;
            applyRateLimits(nowMillis);
        }
    }

    /** Returns whether this instance decides regularly for others. */
    boolean isDispatcher() {
        return mShare.dispatcher();
    }

    /** Applies the rate limits if any has changed. */
    void refreshRateLimits(long nowMillis) {
        if (mRateLimitChanges != changeCount()) {
            applyRateLimits(nowMillis);
        }
    }

    private long changeCount() {
        return mRateLimits.changeCount() + mRateLimits.cold().changeCount();
    }

    /**
     * Sets the current rate limits of the upstreams. Prompts prefer upstreams without one, so that
     * these have the prompts cached that the others have no room for.
     */
    private void applyRateLimits(long nowMillis) {
        mRateLimitChanges = changeCount();
        Set<UpstreamId> unlimited = new HashSet<>();
        mLoads.forEach(
                (id, load) -> {
                    OptionalDouble limit = mRateLimits.find(id, load.upstream().startedMillis());
                    load.rate().setColdSpec(mColdSpec, mColdBounds);
                    load.rate().set(limit, mShare, nowMillis);
                    load.rate()
                            .setCold(
                                    mRateLimits.cold().endMillis(load.upstream().incarnation()),
                                    ColdShares.of(mShare, id),
                                    nowMillis);
                    if (limit.isEmpty()) {
                        unlimited.add(id);
                    }
                });
        mPreferred.setUpstreams(unlimited.isEmpty() ? Set.copyOf(mLoads.keySet()) : unlimited);
    }

    /** Returns the load of an upstream; empty if it is not listed. */
    Optional<UpstreamLoad> find(UpstreamId upstream) {
        return Optional.ofNullable(mLoads.get(upstream));
    }

    /** Returns the load that an attempt counts for, also if its upstream may not be used now. */
    Optional<UpstreamLoad> find(Ticket ticket) {
        UpstreamId id = ticket.upstream().id();
        return Optional.ofNullable(mUnused.get(id))
                .map(UnusedLoad::load)
                .or(() -> find(id))
                .filter(load -> load.upstream().sameIncarnation(ticket.upstream()));
    }

    /** Returns the load of an upstream with its current limits; empty if it is not listed. */
    Optional<UpstreamLoad> findCurrent(UpstreamId upstream, long nowMillis) {
        refreshRateLimits(nowMillis);
        return find(upstream);
    }

    /** Returns the loads of all upstreams that may be used. */
    Collection<UpstreamLoad> all() {
        return Collections.unmodifiableCollection(mLoads.values());
    }

    /** Returns the upstream that a prompt with these parts prefers. */
    Optional<UpstreamId> preferred(List<PromptPart> parts) {
        return mPreferred.preferred(parts);
    }

    /** Returns upstreams as candidates for a request. */
    List<Candidate> candidates(PoolJob job, Collection<UpstreamLoad> loads) {
        Prompt prompt = job.prompt();
        Optional<UpstreamId> preferred = preferred(prompt.parts());
        List<Candidate> candidates = new ArrayList<>(loads.size());
        for (UpstreamLoad load : loads) {
            boolean isPreferred = preferred.filter(load.upstream().id()::equals).isPresent();
            candidates.add(new Candidate(job, load, load.newTokens(prompt, isPreferred)));
        }
        return candidates;
    }

    /** Returns why a request that waits too long could not be started. */
    PoolCause lateCause(long nowMillis) {
        if (mLoads.isEmpty()) {
            return PoolCause.NO_UPSTREAM;
        }
        return isRateLimited(nowMillis) ? PoolCause.RATE_LIMITED : PoolCause.TOO_LATE;
    }

    /** Returns whether there are upstreams and all of them are rate-limited or cold. */
    boolean isRateLimited(long nowMillis) {
        return !mLoads.isEmpty()
                && mLoads.values().stream()
                        .allMatch(load -> load.rate().requestsPerMilli(nowMillis).isPresent());
    }

    /**
     * Returns what the upstreams can do together. A rate limit bounds the prefill of an engine to
     * that of the requests which the limit lets pass.
     *
     * @param engines whether the upstreams are model engines
     * @param meanTokens the mean number of prompt tokens of the requests
     */
    Throughput throughput(boolean engines, double meanTokens, long nowMillis) {
        double tokensPerMilli = 0;
        double requestsPerMilli = 0;
        for (UpstreamLoad load : mLoads.values()) {
            double limit = load.rate().requestsPerMilli(nowMillis).orElse(Double.POSITIVE_INFINITY);
            requestsPerMilli += limit;
            if (engines) {
                double prefill = load.tokensPerMilli(nowMillis) * PREFILL_TIME_FRACTION;
                tokensPerMilli +=
                        Double.isInfinite(limit) ? prefill : Math.min(prefill, limit * meanTokens);
            }
        }
        return new Throughput(tokensPerMilli, requestsPerMilli);
    }

    private record UnusedLoad(UpstreamLoad load, long sinceMillis) {}
}
