package org.magnoliapick.request;

import java.util.Optional;
import org.magnoliapick.lib.AttemptId;

/**
 * What is known of a request when it arrives.
 *
 * @param idempotent whether it may run more than once
 * @param streamed whether its answer is relayed piece by piece
 * @param resumable whether its upstream can resume a stream at an offset
 * @param claim the identifier of its claim; present exactly if it carries an idempotency key and is
 *     not idempotent
 * @param deadlineMillis when its caller stops waiting, in milliseconds since the epoch
 */
public record RequestPlan(
        boolean idempotent,
        boolean streamed,
        boolean resumable,
        Optional<AttemptId> claim,
        long deadlineMillis) {
    /** Checks that an idempotent request has no claim. */
    public RequestPlan {
        if (idempotent && claim.isPresent()) {
            throw new IllegalArgumentException("An idempotent request needs no claim");
        }
    }
}
