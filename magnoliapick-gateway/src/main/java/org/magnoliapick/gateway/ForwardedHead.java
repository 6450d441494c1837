package org.magnoliapick.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The platform's fields that the gateway sets on a request it forwards.
 *
 * @param upstream the upstream that the request is sent to
 * @param remainingMillis how long the upstream may take
 * @param workspace the workspace of the request; absent on public routes
 * @param resumeAfter the last event already received, if the request resumes a stream
 */
public record ForwardedHead(
        UpstreamId upstream,
        long remainingMillis,
        Optional<WorkspaceId> workspace,
        OptionalLong resumeAfter) {}
