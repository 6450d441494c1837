package org.magnoliapick.claim;

import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;

/** The verdict on a claim, derived from the log. */
public sealed interface ClaimVerdict {
    /** The claim holds its key: its request may run, at most once. */
    record Won() implements ClaimVerdict {}

    /**
     * An earlier claim holds the key, and the log does not contain its outcome yet.
     *
     * @param holder the instance of the earlier claim; it may already have the answer if the
     *     request ended after the last append of that instance
     * @param claim the earlier claim
     */
    record InProgress(InstanceId holder, AttemptId claim) implements ClaimVerdict {}

    /**
     * The request ran under an earlier claim and its answer was complete.
     *
     * @param holder the instance that ran the request and may still keep the answer
     * @param claim the earlier claim
     */
    record AlreadyRun(InstanceId holder, AttemptId claim) implements ClaimVerdict {}

    /** The request may have run under an earlier claim. */
    record OutcomeUnknown() implements ClaimVerdict {}

    /** An earlier claim used the key for a request with different content. */
    record KeyReused() implements ClaimVerdict {}
}
