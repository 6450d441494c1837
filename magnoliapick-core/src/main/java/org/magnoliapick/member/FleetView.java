package org.magnoliapick.member;

import java.util.List;

/**
 * The fleet as one instance sees it.
 *
 * @param routers the entry instances including this one, ordered by name
 * @param upstreams the upstreams, ordered by name
 */
public record FleetView(List<RouterMember> routers, List<UpstreamMember> upstreams) {
    /** A view without members. */
    public static final FleetView EMPTY = new FleetView(List.of(), List.of());

    /** Copies both lists. */
    public FleetView {
        routers = List.copyOf(routers);
        upstreams = List.copyOf(upstreams);
    }
}
