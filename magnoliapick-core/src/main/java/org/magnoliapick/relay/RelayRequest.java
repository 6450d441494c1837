package org.magnoliapick.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.route.Route;

/**
 * What is known of a request when it was read from its caller.
 *
 * @param id the caller's identifier of this attempt of its own
 * @param route the route that it takes
 * @param service the service that it goes to
 * @param workspace whose request it is; absent on open routes
 * @param prompt its size, where it is for a model engine
 * @param resumeAfter the last event that its caller has, if it asks to resume a stream
 * @param arrivedMillis when its head arrived
 * @param firstRequestedMillis when its caller asked first; earlier than it arrived for a return
 * @param deadlineMillis when its caller stops waiting
 * @param configVersion the version of the configuration that it is served under
 */
public record RelayRequest(
        String id,
        Route route,
        String service,
        Optional<WorkspaceId> workspace,
        Prompt prompt,
        OptionalLong resumeAfter,
        long arrivedMillis,
        long firstRequestedMillis,
        long deadlineMillis,
        long configVersion) {

    /** Returns when it needs its final answer: at the route's time-out or the caller's deadline. */
    public long effectiveDeadlineMillis() {
        return Math.min(deadlineMillis, arrivedMillis + route.timeoutMillis());
    }

    /** Returns whether nobody waits for its answer any more, so that it must not be sent. */
    public boolean isExpired(long nowMillis) {
        return nowMillis >= effectiveDeadlineMillis();
    }

    /** Returns when its answer, or of streams the first event, has to be there to be on time. */
    public long onTimeMillis() {
        return firstRequestedMillis + route.objectiveMillis();
    }

    /** Returns whether its caller asked before and was not served. */
    public boolean isCallerRetry() {
        return firstRequestedMillis < arrivedMillis;
    }
}
