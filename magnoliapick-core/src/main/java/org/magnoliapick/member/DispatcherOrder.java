package org.magnoliapick.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The order in which instances take over the dispatcher role. All instances with the same view
 * compute the same order. Machines with at least half the processor of the strongest one come
 * first, since all other instances wait for the dispatcher.
 */
final class DispatcherOrder {
    /** The minimum share of the strongest machine's processor for a machine to count as strong. */
    private static final double STRONG_SHARE = 0.5;

    private DispatcherOrder() {}

    /** Returns the addresses of the members, the preferred dispatcher first. */
    static List<String> of(String role, Collection<Member> members) {
        int maxMilliCores = members.stream().mapToInt(Member::milliCores).max().orElse(0);
        Map<Boolean, List<String>> byStrength =
                members.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        each -> each.milliCores() >= maxMilliCores * STRONG_SHARE,
                                        Collectors.mapping(Member::address, Collectors.toList())));
        List<String> order = new ArrayList<>();
        for (boolean strong : List.of(true, false)) {
            List<String> part = byStrength.get(strong);
            order.addAll(Rendezvous.top(role, part, part.size()));
        }
        return order;
    }
}
