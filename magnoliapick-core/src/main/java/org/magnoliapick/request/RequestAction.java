package org.magnoliapick.request;

import java.util.Optional;
import java.util.Set;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.share.AttemptOutcome;

/** What a {@link RequestMachine} asks its process to do, in order. */
public sealed interface RequestAction {
    /**
     * Append a claim to the log and report its verdict.
     *
     * @param claim the identifier of the claim
     */
    record AppendClaim(AttemptId claim) implements RequestAction {}

    /**
     * Append the outcome of the claim. A claim that is not yet decided is withdrawn.
     *
     * @param claim the identifier of the claim
     * @param outcome how the request ended
     */
    record RecordClaimOutcome(AttemptId claim, ClaimOutcome outcome) implements RequestAction {}

    /**
     * Ask an instance for the answer that it kept of the first run.
     *
     * @param holder the instance that ran the request
     * @param claim the claim under which it ran
     */
    record FetchKeptAnswer(InstanceId holder, AttemptId claim) implements RequestAction {}

    /**
     * Queue the request for a slot.
     *
     * @param excluded upstreams that must not get it
     */
    record Submit(Set<UpstreamId> excluded) implements RequestAction {
        /** Copies the set. */
        public Submit {
            excluded = Set.copyOf(excluded);
        }
    }

    /** Take the request out of the queue. */
    record Withdraw() implements RequestAction {}

    /**
     * Prepare the attempt and report {@link RequestEvent.SendBegins} before the first byte.
     *
     * @param attempt the attempt
     * @param upstream where it runs
     */
    record StartAttempt(AttemptId attempt, UpstreamId upstream) implements RequestAction {}

    /**
     * Send the request now.
     *
     * @param attempt the attempt
     * @param upstream where it runs
     */
    record Send(AttemptId attempt, UpstreamId upstream) implements RequestAction {}

    /**
     * Go on with the stream of an attempt whose connection was lost.
     *
     * @param attempt the attempt
     * @param upstream where it runs
     * @param fromChunk the number of pieces already taken
     */
    record ResumeAttempt(AttemptId attempt, UpstreamId upstream, int fromChunk)
            implements RequestAction {}

    /**
     * Cancel the attempt at the upstream and read no more of it.
     *
     * @param attempt the attempt
     * @param upstream where it runs
     */
    record CancelAttempt(AttemptId attempt, UpstreamId upstream) implements RequestAction {}

    /**
     * Give the slot back. Comes exactly once for each grant.
     *
     * @param end how the attempt ended
     */
    record ReleaseSlot(AttemptOutcome end) implements RequestAction {}

    /**
     * Relay the head of the answer to the caller.
     *
     * @param attempt the attempt
     */
    record RelayHead(AttemptId attempt) implements RequestAction {}

    /**
     * Relay the piece that just arrived to the caller.
     *
     * @param attempt the attempt
     * @param index the place of the piece
     */
    record RelayChunk(AttemptId attempt, int index) implements RequestAction {}

    /**
     * Keep the piece that just arrived under its attempt until the answer is whole.
     *
     * @param attempt the attempt
     * @param index the place of the piece
     */
    record HoldChunk(AttemptId attempt, int index) implements RequestAction {}

    /**
     * End the caller's answer as whole; send what was held of this attempt first.
     *
     * @param attempt the attempt
     */
    record AnswerComplete(AttemptId attempt) implements RequestAction {}

    /** Answer with the kept answer of the first run. */
    record AnswerKept() implements RequestAction {}

    /**
     * Answer with an error.
     *
     * @param kind the kind of error
     * @param retryAfterMillis when the caller may come back, in milliseconds from now
     * @param midStream whether part of an answer was relayed before
     */
    record AnswerError(ErrorKind kind, Optional<Long> retryAfterMillis, boolean midStream)
            implements RequestAction {}
}
