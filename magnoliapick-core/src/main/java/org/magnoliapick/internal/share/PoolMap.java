package org.magnoliapick.internal.share;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.UpstreamMember;

/**
 * Maps each target to its pools, one for each failure domain. Targets that share an upstream share
 * their pools, so that one dispatcher knows all of the upstream's slots. The name of the pools is
 * the first of the names of these targets in lexicographic order.
 */
final class PoolMap {
    private final Map<String, String> mParents = new HashMap<>();
    private final Map<String, TreeSet<FailureDomain>> mDomains = new HashMap<>();

    PoolMap(FleetView view) {
        for (UpstreamMember upstream : view.upstreams()) {
            String first = null;
            for (String target : upstream.targets()) {
                first = first == null ? target : first;
                union(first, target);
            }
        }
        for (UpstreamMember upstream : view.upstreams()) {
            if (upstream.state().takesNewWork() && !upstream.targets().isEmpty()) {
                String name = poolName(upstream.targets().iterator().next());
                mDomains.computeIfAbsent(name, key -> new TreeSet<>()).add(upstream.domain());
            }
        }
    }

    /** Returns the name of the pools of a target. */
    String poolName(String target) {
        String parent = mParents.getOrDefault(target, target);
        return parent.equals(target) ? target : poolName(parent);
    }

    PoolId pool(FailureDomain domain, String target) {
        return new PoolId(domain, poolName(target));
    }

    /** Returns the domains where upstreams accept new work for the pools of this name. */
    TreeSet<FailureDomain> domains(String name) {
        return mDomains.getOrDefault(name, new TreeSet<>());
    }

    /** Returns the names of the pools with upstreams that accept new work. */
    Iterable<String> poolNames() {
        return mDomains.keySet();
    }

    private void union(String one, String other) {
        String oneRoot = poolName(one);
        String otherRoot = poolName(other);
        if (oneRoot.compareTo(otherRoot) < 0) {
            mParents.put(otherRoot, oneRoot);
        } else if (!oneRoot.equals(otherRoot)) {
            mParents.put(oneRoot, otherRoot);
        }
    }
}
