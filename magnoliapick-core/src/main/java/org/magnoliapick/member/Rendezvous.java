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

/** Rendezvous hashing: every instance with the same view names the same one for a duty. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Returns the instance that has a duty for a pool: a live one in the pool's failure domain, or
     * else any live one.
     *
     * @param duty the name of the duty, so that one instance does not get every duty of a pool
     */
    public static Optional<InstanceId> choose(FleetView view, PoolId pool, String duty) {
        List<RouterMember> live =
                view.routers().stream().filter(each -> each.state().takesNewWork()).toList();
        List<RouterMember> near =
                live.stream().filter(each -> each.domain().equals(pool.domain())).toList();
        List<InstanceId> candidates =
                (near.isEmpty() ? live : near).stream().map(RouterMember::id).toList();
        return top(duty + '/' + pool, candidates, 1).stream().findFirst();
    }

    /** Returns the members with the greatest weights for a subject, the greatest first. */
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
