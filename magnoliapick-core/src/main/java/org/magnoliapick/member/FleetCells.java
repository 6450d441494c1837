package org.magnoliapick.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.magnoliapick.lib.FailureDomain;

/**
 * Partitions the fleet into cells with one dispatcher each, so that the number of instances that
 * one dispatcher serves is limited. A cell consists of one or more complete failure domains.
 */
final class FleetCells {
    /**
     * The target number of instances for a cell. A cell exceeds it if a failure domain does, or if
     * the failure domains differ in size, since a cell never holds a part of a failure domain.
     */
    private static final int TARGET_CELL_INSTANCES = 128;

    /** The number of candidates of which one is the dispatcher as a rule. */
    private static final int CANDIDATES = 2;

    private final Map<FailureDomain, Integer> mCells = new HashMap<>();
    private final List<List<String>> mOrders = new ArrayList<>();

    FleetCells(Collection<Member> members) {
        TreeSet<FailureDomain> domains = new TreeSet<>();
        members.forEach(each -> domains.add(each.domain()));
        int wanted = (members.size() + TARGET_CELL_INSTANCES - 1) / TARGET_CELL_INSTANCES;
        int cells = Math.max(1, Math.min(wanted, domains.size()));
        int position = 0;
        for (FailureDomain each : domains) {
            mCells.put(each, position++ * cells / domains.size());
        }
        for (int cell = 0; cell < cells; cell++) {
            mOrders.add(dispatcherOrder(cell, members));
        }
    }

    private List<String> dispatcherOrder(int cell, Collection<Member> members) {
        List<Member> own =
                members.stream().filter(each -> mCells.get(each.domain()) == cell).toList();
        return DispatcherOrder.of("dispatcher", own);
    }

    /**
     * Returns the addresses of the dispatcher candidates for the cell of a failure domain, the
     * preferred one first.
     */
    List<String> dispatcherOrder(FailureDomain domain) {
        return mOrders.get(mCells.get(domain));
    }

    /** Returns the dispatcher candidates of each cell other than the one of a failure domain. */
    List<List<String>> otherDispatcherOrders(FailureDomain domain) {
        List<List<String>> others = new ArrayList<>(mOrders);
        others.remove((int) mCells.get(domain));
        return others;
    }

    /**
     * Returns for how many instances the dispatcher of a failure domain's cell decides, alone or
     * together with other dispatchers: those of its cell that it can reach, and all of each other
     * cell whose dispatcher it can reach.
     *
     * @param reachable the instances that it can reach directly, itself included
     */
    long connectedCount(FailureDomain domain, Collection<Member> reachable) {
        Set<String> direct = reachable.stream().map(Member::address).collect(Collectors.toSet());
        long connected = dispatcherOrder(domain).stream().filter(direct::contains).count();
        for (List<String> order : otherDispatcherOrders(domain)) {
            if (order.stream().limit(CANDIDATES).anyMatch(direct::contains)) {
                connected += order.size();
            }
        }
        return connected;
    }
}
