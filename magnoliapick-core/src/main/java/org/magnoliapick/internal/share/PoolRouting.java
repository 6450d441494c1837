package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.Rendezvous;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.share.ShareSettings;

/**
 * Chooses the dispatcher of each pool by rendezvous hashing, and the pools from which this instance
 * requests slots.
 */
final class PoolRouting {
    /** How many other domains an instance uses when the pool of its own domain is full. */
    private static final int MAX_SPILL_DOMAINS = 3;

    private final ShareSettings mSettings;
    private final Map<InstanceId, Long> mLeftIncarnations = new HashMap<>();
    private FleetView mView = FleetView.EMPTY;
    private PoolMap mPools = new PoolMap(FleetView.EMPTY);
    private final Map<PoolId, Optional<InstanceId>> mDispatchers = new TreeMap<>();
    private boolean mLeaving;

    PoolRouting(ShareSettings settings) {
        mSettings = settings;
    }

    void setView(FleetView view) {
        mView = view;
        mPools = new PoolMap(view);
        mDispatchers.clear();
    }

    /** Records that an instance has given up the dispatcher role for this incarnation. */
    void markLeft(InstanceId instance, long incarnation) {
        mLeftIncarnations.merge(instance, incarnation, Math::max);
        mDispatchers.clear();
    }

    /** Excludes this instance from the dispatcher role. */
    void excludeSelf() {
        mLeaving = true;
        mDispatchers.clear();
    }

    PoolMap pools() {
        return mPools;
    }

    /** Returns the dispatcher of a pool, or empty if no instance can take the role. */
    Optional<InstanceId> dispatcher(PoolId pool) {
        return mDispatchers.computeIfAbsent(pool, this::chooseDispatcher);
    }

    /** Returns the dispatchers of the pools of the same name in other domains. */
    List<InstanceId> peerDispatchers(PoolId pool) {
        List<InstanceId> found = new ArrayList<>();
        for (FailureDomain domain : mPools.domains(pool.target())) {
            if (!domain.equals(pool.domain())) {
                dispatcher(new PoolId(domain, pool.target())).ifPresent(found::add);
            }
        }
        return found;
    }

    /** Returns the other instances in the failure domain of this instance. */
    List<InstanceId> domainPeers() {
        List<InstanceId> found = new ArrayList<>();
        for (RouterMember router : mView.routers()) {
            boolean self = router.id().equals(mSettings.self());
            if (!self && router.domain().equals(mSettings.domain())) {
                found.add(router.id());
            }
        }
        return found;
    }

    /** Returns the pool of this instance's domain for a target, if upstreams there accept work. */
    Optional<PoolId> localPool(String target) {
        String name = mPools.poolName(target);
        return mPools.domains(name).contains(mSettings.domain())
                ? Optional.of(new PoolId(mSettings.domain(), name))
                : Optional.empty();
    }

    /**
     * Returns the pools of other domains that this instance may use for a target. Rendezvous
     * hashing over the instance and the pool name spreads the instances over the domains.
     */
    List<PoolId> spillPools(String target) {
        String name = mPools.poolName(target);
        List<FailureDomain> otherDomains = new ArrayList<>(mPools.domains(name));
        otherDomains.remove(mSettings.domain());
        String subject = mSettings.self() + "/" + name;
        return Rendezvous.top(subject, otherDomains, MAX_SPILL_DOMAINS).stream()
                .map(domain -> new PoolId(domain, name))
                .toList();
    }

    /** Prefers the instances in the domain of the pool and takes any other if there is none. */
    private Optional<InstanceId> chooseDispatcher(PoolId pool) {
        List<InstanceId> local = new ArrayList<>();
        List<InstanceId> all = new ArrayList<>();
        for (RouterMember router : mView.routers()) {
            if (mayDispatch(router)) {
                all.add(router.id());
                if (router.domain().equals(pool.domain())) {
                    local.add(router.id());
                }
            }
        }
        return Rendezvous.top(pool.toString(), local.isEmpty() ? all : local, 1).stream()
                .findFirst();
    }

    private boolean mayDispatch(RouterMember router) {
        if (router.id().equals(mSettings.self())) {
            return !mLeaving;
        }
        Long leftIncarnation = mLeftIncarnations.get(router.id());
        boolean left = leftIncarnation != null && router.incarnation() <= leftIncarnation;
        return router.state().takesNewWork() && !left;
    }
}
