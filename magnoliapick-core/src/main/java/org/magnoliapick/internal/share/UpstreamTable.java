package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.UpstreamMember;

/** The upstreams known to one instance. */
final class UpstreamTable {
    private final Map<UpstreamId, Upstream> mById = new TreeMap<>();
    private FleetConfig mConfig = FleetConfig.EMPTY;

    /**
     * Applies a new fleet view. An upstream that is no longer listed gets no new requests. It is
     * removed by the first view after the last request that this instance runs there has ended.
     */
    void setView(FleetView view) {
        Set<UpstreamId> listed = new HashSet<>();
        for (UpstreamMember member : view.upstreams()) {
            listed.add(member.id());
            Upstream upstream = mById.computeIfAbsent(member.id(), id -> new Upstream(member));
            upstream.setMember(member);
            upstream.setConfig(mConfig);
        }
        mById.values().removeIf(known -> !listed.contains(known.id()) && known.inFlight() == 0);
        mById.values().stream()
                .filter(known -> !listed.contains(known.id()))
                .forEach(Upstream::markUnlisted);
    }

    void setConfig(FleetConfig config) {
        mConfig = config;
        mById.values().forEach(upstream -> upstream.setConfig(config));
    }

    Optional<Upstream> find(UpstreamId id) {
        return Optional.ofNullable(mById.get(id));
    }

    /** Returns the upstreams where new requests for a target may be started, ordered by name. */
    List<Upstream> serving(String target) {
        List<Upstream> found = new ArrayList<>();
        for (Upstream upstream : mById.values()) {
            if (upstream.serves(target)) {
                found.add(upstream);
            }
        }
        return found;
    }

    /** Returns all upstreams, ordered by name. */
    Iterable<Upstream> all() {
        return mById.values();
    }
}
