package org.magnoliapick.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The order in which instances take over the duty of deciding for others: all instances with the
 * same view name the same order. Machines that are about as strong as the strongest come first,
 * since all others wait for the one that decides.
 */
final class DispatcherOrder {
    /** The part of the strongest machine's processor that a strong one has at least. */
    private static final double STRONG_SHARE = 0.5;

    private DispatcherOrder() {}

    /** Returns the addresses of the members, the one to have the duty first. */
    static List<String> of(String duty, Collection<Member> members) {
        int strongest = members.stream().mapToInt(Member::milliCores).max().orElse(0);
        Map<Boolean, List<String>> byStrength =
                members.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        each -> each.milliCores() >= strongest * STRONG_SHARE,
                                        Collectors.mapping(Member::address, Collectors.toList())));
        List<String> order = new ArrayList<>();
        for (boolean strong : List.of(true, false)) {
            List<String> part = byStrength.get(strong);
            order.addAll(Rendezvous.top(duty, part, part.size()));
        }
        return order;
    }
}
