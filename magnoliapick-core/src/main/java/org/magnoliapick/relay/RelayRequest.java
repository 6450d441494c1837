package org.magnoliapick.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.route.Route;

/**
 * A request as read from its caller. Times are in milliseconds.
 *
 * @param id the caller's identifier of its attempt
 * @param route the route that the request takes
 * @param service the service that the request is for
 * @param workspace the workspace of the request; absent on public routes
 * @param prompt its size, if it is for a model engine
 * @param fingerprint identifies its content
 * @param resumeAfter the last event that the caller received, if it asks to resume a stream
 * @param arrivedMillis when the request's head arrived
 * @param firstRequestedMillis when the caller made its first attempt; before the arrival for a
 *     retry
 * @param deadlineMillis when the caller stops waiting
 * @param configVersion the version of the configuration that the request is served under
 */
public record RelayRequest(
        String id,
        Route route,
        String service,
        Optional<WorkspaceId> workspace,
        Prompt prompt,
        Fingerprint fingerprint,
        OptionalLong resumeAfter,
        long arrivedMillis,
        long firstRequestedMillis,
        long deadlineMillis,
        long configVersion) {

    /** Returns what the request asks for. */
    public RequestContent content() {
        return new RequestContent(service, prompt, fingerprint);
    }

    /** Returns the earlier of the route's timeout and the caller's deadline. */
    public long effectiveDeadlineMillis() {
        return Math.min(deadlineMillis, arrivedMillis + route.timeoutMillis());
    }

    /**
     * Returns whether the effective deadline has passed. Nobody waits for the answer any more then,
     * so the request must not be sent.
     */
    public boolean isExpired(long nowMillis) {
        return nowMillis >= effectiveDeadlineMillis();
    }

    /** Returns the latest time for the answer, or the first event of a stream, to be on time. */
    public long dueMillis() {
        return firstRequestedMillis + route.objectiveMillis();
    }

    /** Returns whether the caller sent the request before and was not served. */
    public boolean isCallerRetry() {
        return firstRequestedMillis < arrivedMillis;
    }
}
