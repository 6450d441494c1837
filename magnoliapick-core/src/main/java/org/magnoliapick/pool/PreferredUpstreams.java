package org.magnoliapick.pool;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.Rendezvous;
import org.magnoliapick.relay.PromptPart;

/**
 * Names for each shared part of prompts the upstream at which it is kept, the same at all
 * instances, so that a part is read once and not once an instance.
 */
final class PreferredUpstreams {
    /** How many parts' homes are remembered, so that hashing is rare. */
    private static final int REMEMBERED = 4_096;

    private final Map<String, UpstreamId> mHomes =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, UpstreamId> eldest) {
                    return size() > REMEMBERED;
                }
            };
    private Collection<UpstreamId> mUpstreams = List.of();

    /** Takes over the upstreams that may get new work. */
    void listed(Collection<UpstreamId> upstreams) {
        if (!mUpstreams.equals(upstreams)) {
            mUpstreams = Set.copyOf(upstreams);
            mHomes.clear();
        }
    }

    /** Returns the home of a prompt: that of its last part that other prompts share. */
    Optional<UpstreamId> home(List<PromptPart> parts) {
        if (parts.size() < 2 || mUpstreams.isEmpty()) {
            return Optional.empty();
        }
        String subject = parts.get(parts.size() - 2).id();
        UpstreamId home = mHomes.get(subject);
        if (home == null) {
            home = Rendezvous.top(subject, mUpstreams, 1).get(0);
            mHomes.put(subject, home);
        }
        return Optional.of(home);
    }
}
