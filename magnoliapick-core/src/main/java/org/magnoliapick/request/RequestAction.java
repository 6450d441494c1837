package org.magnoliapick.request;

import java.util.Optional;
import java.util.Set;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.share.AttemptOutcome;

/** An action that a {@link RequestMachine} requires of its process; executed in order. */
public sealed interface RequestAction {
    /**
     * Appends a claim to the log and reports its verdict.
     *
     * @param claim the identifier of the claim
     */
    record AppendClaim(AttemptId claim) implements RequestAction {}

    /**
     * Appends the outcome of the claim. This withdraws a claim that is not yet decided.
     *
     * @param claim the identifier of the claim
     * @param outcome how the request ended
     */
    record RecordClaimOutcome(AttemptId claim, ClaimOutcome outcome) implements RequestAction {}

    /**
     * Requests the answer of the first run from the instance that kept it.
     *
     * @param holder the instance that ran the request
     * @param claim the claim under which the request ran
     */
    record FetchKeptAnswer(InstanceId holder, AttemptId claim) implements RequestAction {}

    /**
     * Queues the request for a slot.
     *
     * @param excluded upstreams on which the request must not be placed
     */
    record Submit(Set<UpstreamId> excluded) implements RequestAction {
        public Submit {
            excluded = Set.copyOf(excluded);
        }
    }

    /** Removes the request from the queue. */
    record Withdraw() implements RequestAction {}

    /**
     * Prepares the attempt and reports {@link RequestEvent.ReadyToSend} before the first byte is
     * sent.
     *
     * @param attempt the attempt
     * @param upstream the upstream of the attempt
     */
    record StartAttempt(AttemptId attempt, UpstreamId upstream) implements RequestAction {}

    /**
     * Sends the request now.
     *
     * @param attempt the attempt
     * @param upstream the upstream of the attempt
     */
    record Send(AttemptId attempt, UpstreamId upstream) implements RequestAction {}

    /**
     * Resumes the stream of an attempt whose connection was lost.
     *
     * @param attempt the attempt
     * @param upstream the upstream of the attempt
     * @param fromChunk the number of chunks already received; the stream resumes after them
     */
    record ResumeAttempt(AttemptId attempt, UpstreamId upstream, int fromChunk)
            implements RequestAction {}

    /**
     * Cancels the attempt at the upstream and stops reading its answer.
     *
     * @param attempt the attempt
     * @param upstream the upstream of the attempt
     */
    record CancelAttempt(AttemptId attempt, UpstreamId upstream) implements RequestAction {}

    /**
     * Releases the slot. Issued exactly once for each grant.
     *
     * @param end how the attempt ended
     */
    record ReleaseSlot(AttemptOutcome end) implements RequestAction {}

    /**
     * Relays the head of the answer to the caller.
     *
     * @param attempt the attempt
     */
    record RelayHead(AttemptId attempt) implements RequestAction {}

    /**
     * Relays the chunk that just arrived to the caller.
     *
     * @param attempt the attempt
     * @param index the index of the chunk in the answer, from 0
     */
    record RelayChunk(AttemptId attempt, int index) implements RequestAction {}

    /**
     * Buffers the chunk that just arrived, by attempt, until the answer is complete.
     *
     * @param attempt the attempt
     * @param index the index of the chunk in the answer, from 0
     */
    record HoldChunk(AttemptId attempt, int index) implements RequestAction {}

    /**
     * Sends the buffered chunks of this attempt and ends the caller's answer as complete.
     *
     * @param attempt the attempt
     */
    record AnswerComplete(AttemptId attempt) implements RequestAction {}

    /** Sends the kept answer of the first run. */
    record AnswerKept() implements RequestAction {}

    /**
     * Sends an error to the caller.
     *
     * @param kind the kind of error
     * @param retryAfterMillis when the caller may retry, in milliseconds from now
     * @param midStream whether the head of an answer was already relayed
     */
    record AnswerError(ErrorKind kind, Optional<Long> retryAfterMillis, boolean midStream)
            implements RequestAction {}
}
