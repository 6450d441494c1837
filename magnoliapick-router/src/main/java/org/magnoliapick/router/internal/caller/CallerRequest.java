package org.magnoliapick.router.internal.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.share.QueuedRequest;

/**
 * A request as a caller sent it, checked.
 *
 * @param id its name
 * @param workspace the workspace that its key names
 * @param target the model or plain service
 * @param kind the kind of the target
 * @param requestClass its class
 * @param arrivedMillis when it came, in milliseconds since the epoch
 * @param deadlineMillis when its caller stops waiting, in milliseconds since the epoch
 * @param hintUnits the caller's hint of its cost, in service units
 * @param idempotent whether it may run more than once
 * @param idempotencyKey the caller's key for it
 * @param content what is passed on
 */
public record CallerRequest(
        RequestId id,
        WorkspaceId workspace,
        String target,
        TargetKind kind,
        RequestClass requestClass,
        long arrivedMillis,
        long deadlineMillis,
        OptionalDouble hintUnits,
        boolean idempotent,
        Optional<String> idempotencyKey,
        Content content) {
    /**
     * What is passed on to the upstream.
     *
     * @param method the HTTP method
     * @param path the path and query at the upstream
     * @param headers the headers
     * @param body the body
     * @param streamed whether the caller wants the answer as a stream
     * @param adapter the adapter that a model needs
     * @param prefixHashes hashes of the prompt's prefix blocks
     */
    public record Content(
            String method,
            String path,
            Map<String, List<String>> headers,
            byte[] body,
            boolean streamed,
            Optional<String> adapter,
            List<Long> prefixHashes) {}

    /** Returns the request in the form that the sharing decisions take. */
    QueuedRequest toQueued(Set<UpstreamId> excluded) {
        return new QueuedRequest(
                id,
                workspace,
                target,
                kind,
                requestClass,
                hintUnits,
                deadlineMillis,
                content.prefixHashes(),
                content.adapter(),
                excluded);
    }
}
