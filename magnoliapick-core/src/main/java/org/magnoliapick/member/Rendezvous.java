package org.magnoliapick.member;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;

/** Rendezvous hashing: all instances with the same view choose the same member for a role. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Returns the instance that has a role for a pool: one that takes new work in the pool's
     * failure domain, or in any if there is none. Returns empty if no instance takes new work.
     *
     * @param role the name of the role; it enters the hash, so that the roles of a pool are spread
     *     over instances
     */
    public static Optional<InstanceId> choose(FleetView view, PoolId pool, String role) {
        List<RouterMember> live =
                view.routers().stream().filter(each -> each.state().takesNewWork()).toList();
        List<RouterMember> near =
                live.stream().filter(each -> each.domain().equals(pool.domain())).toList();
        List<InstanceId> candidates =
                (near.isEmpty() ? live : near).stream().map(RouterMember::id).toList();
        return top(role + '/' + pool, candidates, 1).stream().findFirst();
    }

    /** Returns the members with the greatest hash weights for a subject, the greatest first. */
    public static <T extends Comparable<T>> List<T> top(
            String subject, Collection<T> members, int count) {
        Map<T, Long> weights = new HashMap<>();
        members.forEach(member -> weights.put(member, weight(member.toString(), subject)));
        Comparator<T> order = Comparator.comparing(weights::get);
        return members.stream()
                .sorted(order.thenComparing(Comparator.naturalOrder()).reversed())
                .limit(count)
                .toList();
    }

    private static long weight(String member, String subject) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(member.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(subject.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest.digest()).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", e);
        }
    }
}
