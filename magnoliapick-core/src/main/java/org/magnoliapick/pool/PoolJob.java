package org.magnoliapick.pool;

import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.RequestContent;

/**
 * A request that needs an upstream.
 *
 * @param id the caller's identifier of the request
 * @param service the service that it goes to
 * @param account the workspace whose share it uses; "-" if it has none
 * @param domain the failure domain of the requesting instance
 * @param prompt the size and the parts of its prompt
 * @param fingerprint identifies its content; unknown if it is not from this build
 * @param objectiveMillis how long its answer may take to meet the objective
 * @param dueMillis when its answer, or the first event of a stream, has to arrive to meet the
 *     objective
 * @param callerRetry whether its caller retries a request that was not served
 * @param excluded upstreams that are not used again for it while there are others
 * @param unreachable upstreams that its last attempt found unreachable: the request was not sent or
 *     was refused without being started, the connection was lost before the head of the answer, or
 *     the upstream was silent for too long
 * @param answerStarted whether its answer has started, so that it takes precedence over all other
 *     waiting requests
 * @param rank the rank of its workspace and route; 0 is the highest
 * @param submittedMillis since when it has needed an upstream
 * @param requester the instance that sent the query; absent if it is this one
 * @param queryId the identifier of the query, unique over all incarnations of the requester
 */
public record PoolJob(
        String id,
        String service,
        WorkspaceId account,
        FailureDomain domain,
        Prompt prompt,
        Fingerprint fingerprint,
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
    private static final WorkspaceId NO_WORKSPACE = new WorkspaceId("-");

    /** Copies the sets. */
    public PoolJob {
        excluded = Set.copyOf(excluded);
        unreachable = Set.copyOf(unreachable);
    }

    /** Returns what the request asks for. */
    public RequestContent content() {
        return new RequestContent(service, prompt, fingerprint);
    }

    /** Returns the job for a request of this instance. */
    public static PoolJob of(
            RelayRequest request,
            FailureDomain domain,
            Set<UpstreamId> excluded,
            Set<UpstreamId> unreachable,
            boolean answerStarted,
            int rank,
            long queryId,
            long nowMillis) {
        return new PoolJob(
                request.id(),
                request.service(),
                request.workspace().orElse(NO_WORKSPACE),
                domain,
                request.prompt(),
                request.fingerprint(),
                request.route().objectiveMillis(),
                request.dueMillis(),
                request.isCallerRetry(),
                excluded,
                unreachable,
                answerStarted,
                rank,
                nowMillis,
                Optional.empty(),
                queryId);
    }
}
