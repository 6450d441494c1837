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
 * A request that waits for a slot.
 *
 * @param id its name
 * @param workspace the workspace it is charged to
 * @param target the model or plain service it asks for
 * @param kind the kind of the target
 * @param requestClass its class inside the workspace
 * @param hintUnits the caller's rough hint of its cost in service units (tokens or milliseconds)
 * @param deadlineMillis when its caller stops waiting, in milliseconds since the epoch
 * @param prefixHashes hashes of the prompt's prefix blocks, longest prefix last
 * @param adapter the adapter it needs, if one
 * @param excluded upstreams that must not get it, such as the one that just failed it
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
    /** Copies the collections. */
    public QueuedRequest {
        prefixHashes = List.copyOf(prefixHashes);
        excluded = Set.copyOf(excluded);
    }
}
