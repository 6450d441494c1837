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

/** Which instance dispatches which pool, and which pools this instance asks. */
final class PoolRouting {
    /** How many other domains an instance asks when its own pool is full. */
    private static final int MAX_SPILL_DOMAINS = 3;

    private final ShareSettings mSettings;
    private final Map<InstanceId, Long> mLeavers = new HashMap<>();
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

    /** Notes that an instance has said that it dispatches no more in this incarnation. */
    void markLeft(InstanceId instance, long incarnation) {
        mLeavers.merge(instance, incarnation, Math::max);
        mDispatchers.clear();
    }

    /** Takes this instance itself out of the choice. */
    void excludeSelf() {
        mLeaving = true;
        mDispatchers.clear();
    }

    PoolMap pools() {
        return mPools;
    }

    /** Finds the instance that dispatches a pool. */
    Optional<InstanceId> dispatcher(PoolId pool) {
        return mDispatchers.computeIfAbsent(pool, this::choose);
    }

    /** Returns the instances that dispatch the pools of the same name in other domains. */
    List<InstanceId> peerDispatchers(PoolId pool) {
        List<InstanceId> found = new ArrayList<>();
        for (FailureDomain domain : mPools.domains(pool.target())) {
            if (!domain.equals(pool.domain())) {
                dispatcher(new PoolId(domain, pool.target())).ifPresent(found::add);
            }
        }
        return found;
    }

    /** Returns the live instances of this instance's domain, without itself. */
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

    /** Returns the pool of the own domain for a target, if it has upstreams. */
    Optional<PoolId> localPool(String target) {
        String name = mPools.poolName(target);
        return mPools.domains(name).contains(mSettings.domain())
                ? Optional.of(new PoolId(mSettings.domain(), name))
                : Optional.empty();
    }

    /** Returns the pools of other domains that this instance asks for a target. */
    List<PoolId> spillPools(String target) {
        String name = mPools.poolName(target);
        List<FailureDomain> others = new ArrayList<>(mPools.domains(name));
        others.remove(mSettings.domain());
        String subject = mSettings.self() + "/" + name;
        return Rendezvous.top(subject, others, MAX_SPILL_DOMAINS).stream()
                .map(domain -> new PoolId(domain, name))
                .toList();
    }

    private Optional<InstanceId> choose(PoolId pool) {
        List<InstanceId> near = new ArrayList<>();
        List<InstanceId> all = new ArrayList<>();
        for (RouterMember router : mView.routers()) {
            if (mayDispatch(router)) {
                all.add(router.id());
                if (router.domain().equals(pool.domain())) {
                    near.add(router.id());
                }
            }
        }
        return Rendezvous.top(pool.toString(), near.isEmpty() ? all : near, 1).stream().findFirst();
    }

    private boolean mayDispatch(RouterMember router) {
        if (router.id().equals(mSettings.self())) {
            return !mLeaving;
        }
        Long leftIn = mLeavers.get(router.id());
        boolean left = leftIn != null && router.incarnation() <= leftIn;
        return router.state().takesNewWork() && !left;
    }
}
