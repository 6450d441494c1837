package org.magnoliapick.pool;

import java.util.List;

/**
 * The leaving upstreams that the sender learned of since a version.
 *
 * @param version the sender's version that the receiver knows afterwards
 * @param upstreams the upstreams
 */
public record LeavingUpdate(long version, List<LeavingUpstream> upstreams) {
    /** Copies the list. */
    public LeavingUpdate {
        upstreams = List.copyOf(upstreams);
    }
}
