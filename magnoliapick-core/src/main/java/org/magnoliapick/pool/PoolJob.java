package org.magnoliapick.pool;

import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.RelayRequest;

/**
 * A request that asks for an upstream.
 *
 * @param id the caller's identifier of the request
 * @param service the service that it goes to
 * @param account whose share it uses
 * @param domain the failure domain of the instance that asks
 * @param prompt its size
 * @param objectiveMillis how long its answer may take to be on time
 * @param dueMillis until when its answer, or of streams the first event, is on time
 * @param callerRetry whether its caller asked before and was not served
 * @param excluded upstreams that it does not go to again while there are others
 * @param unreachable upstreams that broke its last attempt
 * @param answerStarted whether its answer has begun, so that it goes before all that only wait
 * @param rank its workspace's and route's rank, 0 is the highest
 * @param submittedMillis since when it has been asking
 * @param requester the instance that asks; absent for this one
 * @param queryId the number of the question, unique among the asker's of all its lives
 */
public record PoolJob(
        String id,
        String service,
        WorkspaceId account,
        FailureDomain domain,
        Prompt prompt,
        long objectiveMillis,
        long dueMillis,
        boolean callerRetry,
        Set<UpstreamId> excluded,
        Set<UpstreamId> unreachable,
        boolean answerStarted,
        int rank,
        long submittedMillis,
        Optional<InstanceId> requester,
        long queryId) {
    /** The account of requests without a workspace. */
    private static final WorkspaceId OPEN = new WorkspaceId("-");

    /** Copies the sets. */
    public PoolJob {
        excluded = Set.copyOf(excluded);
        unreachable = Set.copyOf(unreachable);
    }

    /** Returns the question of a request at this instance. */
    public static PoolJob of(
            RelayRequest request,
            FailureDomain domain,
            Set<UpstreamId> excluded,
            Set<UpstreamId> lost,
            boolean underWay,
            int rank,
            long number,
            long nowMillis) {
        return new PoolJob(
                request.id(),
                request.service(),
                request.workspace().orElse(OPEN),
                domain,
                request.prompt(),
                request.route().objectiveMillis(),
                request.onTimeMillis(),
                request.isCallerRetry(),
                excluded,
                lost,
                underWay,
                rank,
                nowMillis,
                Optional.empty(),
                number);
    }
}
