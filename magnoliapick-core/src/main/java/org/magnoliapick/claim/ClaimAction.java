package org.magnoliapick.claim;

import org.magnoliapick.lib.AttemptId;

/** What a {@link ClaimBatcher} asks its process to do. */
public sealed interface ClaimAction {
    /**
     * Append the batch to the shard's stream and report how that ended.
     *
     * @param number names the append
     * @param batch what to append
     */
    record Append(long number, ClaimBatch batch) implements ClaimAction {}

    /**
     * Hand the verdict to the request of the claim.
     *
     * @param claim the claim
     * @param verdict the verdict
     */
    record ReportVerdict(AttemptId claim, ClaimVerdict verdict) implements ClaimAction {}

    /**
     * Refuse the request of the claim with {@code LOG_UNAVAILABLE}. It was not run; the request
     * must never be sent afterwards, even if its claim turns up in the log.
     *
     * @param claim the claim
     */
    record Refuse(AttemptId claim) implements ClaimAction {}
}
