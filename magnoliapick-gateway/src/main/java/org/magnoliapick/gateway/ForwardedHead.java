package org.magnoliapick.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * What an upstream is told beside the caller's own headers.
 *
 * @param upstream which upstream is meant
 * @param remainingMillis how long it may work
 * @param workspace whose request it is; absent on open routes
 * @param resumeAfter the last event that is there already, if it resumes a stream
 */
public record ForwardedHead(
        UpstreamId upstream,
        long remainingMillis,
        Optional<WorkspaceId> workspace,
        OptionalLong resumeAfter) {}
