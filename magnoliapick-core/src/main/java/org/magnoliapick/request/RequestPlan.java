package org.magnoliapick.request;

import java.util.Optional;
import org.magnoliapick.lib.AttemptId;

/**
 * Properties of a request that are known when it arrives.
 *
 * @param idempotent whether it may run more than once
 * @param streamed whether its answer is relayed chunk by chunk
 * @param resumable whether its upstream can resume a stream at an offset
 * @param claim the identifier of its claim; present if and only if it carries an idempotency key
 *     and is not idempotent
 * @param deadlineMillis the deadline of its caller, in milliseconds since the epoch
 */
public record RequestPlan(
        boolean idempotent,
        boolean streamed,
        boolean resumable,
        Optional<AttemptId> claim,
        long deadlineMillis) {
    /**
     * Validates the claim.
     *
     * @throws IllegalArgumentException if an idempotent request has a claim
     */
    public RequestPlan {
        if (idempotent && claim.isPresent()) {
            throw new IllegalArgumentException("An idempotent request must not have a claim");
        }
    }
}
