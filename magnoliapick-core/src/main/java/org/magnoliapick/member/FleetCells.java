package org.magnoliapick.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.magnoliapick.lib.FailureDomain;

/**
 * The parts of the fleet for each of which one instance decides. A part is one or more whole
 * failure domains; there are as many as it takes for each to have a bounded number of instances.
 */
final class FleetCells {
    /** For how many instances one of them decides. */
    private static final int CELL_INSTANCES = 128;

    private final Map<FailureDomain, Integer> mCells = new HashMap<>();
    private final List<List<String>> mOrders = new ArrayList<>();

    FleetCells(Collection<Member> members) {
        TreeSet<FailureDomain> domains = new TreeSet<>();
        members.forEach(each -> domains.add(each.domain()));
        int wanted = (members.size() + CELL_INSTANCES - 1) / CELL_INSTANCES;
        int cells = Math.max(1, Math.min(wanted, domains.size()));
        int position = 0;
        for (FailureDomain each : domains) {
            mCells.put(each, position++ * cells / domains.size());
        }
        for (int cell = 0; cell < cells; cell++) {
            mOrders.add(order(cell, members));
        }
    }

    private List<String> order(int cell, Collection<Member> members) {
        List<Member> own =
                members.stream().filter(each -> mCells.get(each.domain()) == cell).toList();
        return DispatcherOrder.of("dispatcher", own);
    }

    /** Returns the addresses of those that may decide for a failure domain, the first one first. */
    List<String> order(FailureDomain domain) {
        return mOrders.get(mCells.get(domain));
    }

    /** Returns the same for each part that the failure domain does not belong to. */
    List<List<String>> otherOrders(FailureDomain domain) {
        List<List<String>> others = new ArrayList<>(mOrders);
        others.remove((int) mCells.get(domain));
        return others;
    }
}
