package org.magnoliapick.share;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * A request that is queued for a slot of an upstream.
 *
 * @param id the identifier of the request
 * @param workspace the workspace that its service is charged to
 * @param target the requested model or plain service
 * @param kind the kind of the target
 * @param requestClass its class, which orders requests within the workspace
 * @param hintUnits the caller's rough cost hint in service units (tokens or milliseconds), if given
 * @param deadlineMillis when its caller stops waiting, in milliseconds since the epoch
 * @param prefixHashes hashes of the prompt's prefix blocks, longest prefix last
 * @param adapter the adapter that it needs, if any
 * @param excluded upstreams that it must not be sent to, such as one that just failed it
 */
public record QueuedRequest(
        RequestId id,
        WorkspaceId workspace,
        String target,
        TargetKind kind,
        RequestClass requestClass,
        OptionalDouble hintUnits,
        long deadlineMillis,
        List<Long> prefixHashes,
        Optional<String> adapter,
        Set<UpstreamId> excluded) {
    /** Creates a queued request; the collections are copied. */
    public QueuedRequest {
        prefixHashes = List.copyOf(prefixHashes);
        excluded = Set.copyOf(excluded);
    }
}
