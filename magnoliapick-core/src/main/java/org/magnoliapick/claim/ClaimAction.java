package org.magnoliapick.claim;

import org.magnoliapick.lib.AttemptId;

/** An action that a {@link ClaimBatcher} requires of its process. */
public sealed interface ClaimAction {
    /**
     * Appends the batch to the stream of the shard and reports the result.
     *
     * @param number the number of the append, unique within the batcher
     * @param batch the batch to append
     */
    record Append(long number, ClaimBatch batch) implements ClaimAction {}

    /**
     * Reports the verdict to the request of the claim.
     *
     * @param claim the claim
     * @param verdict the verdict
     */
    record ReportVerdict(AttemptId claim, ClaimVerdict verdict) implements ClaimAction {}

    /**
     * Refuses the request of the claim with {@code LOG_UNAVAILABLE}. The request was not run and
     * must never be sent afterwards, even if its claim appears in the log later.
     *
     * @param claim the claim
     */
    record Refuse(AttemptId claim) implements ClaimAction {}
}
