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
 * Assigns each shared part of prompts a preferred upstream by rendezvous hashing. All instances
 * choose the same one, so that a part is prefilled once and not once per instance.
 */
final class PreferredUpstreams {
    /** Number of parts whose preferred upstream is cached, so that hashes are rarely computed. */
    private static final int MAX_CACHED_PARTS = 4_096;

    private final Map<String, UpstreamId> mPreferredByPart =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, UpstreamId> eldest) {
                    return size() > MAX_CACHED_PARTS;
                }
            };
    private Collection<UpstreamId> mUpstreams = List.of();

    /** Sets the upstreams that may get new requests. */
    void setUpstreams(Collection<UpstreamId> upstreams) {
        if (!mUpstreams.equals(upstreams)) {
            mUpstreams = Set.copyOf(upstreams);
            mPreferredByPart.clear();
        }
    }

    /**
     * Returns the preferred upstream of a prompt, which is that of the last part that other prompts
     * may share; absent if the prompt has no such part or no upstream is listed.
     */
    Optional<UpstreamId> preferred(List<PromptPart> parts) {
        if (parts.size() < 2 || mUpstreams.isEmpty()) {
            return Optional.empty();
        }
        String partId = parts.get(parts.size() - 2).id();
        UpstreamId preferred = mPreferredByPart.get(partId);
        if (preferred == null) {
            preferred = Rendezvous.top(partId, mUpstreams, 1).get(0);
            mPreferredByPart.put(partId, preferred);
        }
        return Optional.of(preferred);
    }
}
