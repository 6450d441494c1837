package org.magnoliapick.internal.share;

import java.util.Collection;
import java.util.Optional;

/**
 * Rendezvous hashing: everyone with the same members picks the same one, and a member that goes
 * moves only what it had. The hash is FNV-1a over the characters, finished by the mixing step of
 * SplitMix64.
 */
final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /** Picks the member with the highest score for the key. */
    static <T extends Comparable<T>> Optional<T> pick(String key, Collection<T> members) {
        T best = null;
        long bestScore = Long.MIN_VALUE;
        for (T member : members) {
            long score = hash(key + '\n' + member);
            boolean better = best == null || score > bestScore;
            if (better || (score == bestScore && member.compareTo(best) < 0)) {
                best = member;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Hashes a text to 64 bits, the same on every instance. */
    static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}
