package org.magnoliapick.pool;

import java.util.Set;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.relay.RelayRequest;

/**
 * A request that asks for an upstream.
 *
 * @param request the request
 * @param excluded upstreams that it does not go to again while there are others
 * @param underWay whether its answer has begun, so that it goes before all that only wait
 * @param rank its workspace's and route's rank, 0 is the highest
 * @param submittedMillis since when it has been asking
 */
public record PoolJob(
        RelayRequest request,
        Set<UpstreamId> excluded,
        boolean underWay,
        int rank,
        long submittedMillis) {
    /** The account of requests without a workspace. */
    private static final WorkspaceId OPEN = new WorkspaceId("-");

    /** Copies the excluded upstreams. */
    public PoolJob {
        excluded = Set.copyOf(excluded);
    }

    /** Returns whose share it uses. */
    WorkspaceId account() {
        return request.workspace().orElse(OPEN);
    }
}
