package org.magnoliapick.request;

import org.magnoliapick.claim.ClaimVerdict;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.UpstreamId;

/** What happens to a request. */
public sealed interface RequestEvent {
    /** The request is readable, authenticated and allowed. */
    record Admitted() implements RequestEvent {}

    /**
     * The log decided the claim.
     *
     * @param verdict the decision
     */
    record ClaimDecided(ClaimVerdict verdict) implements RequestEvent {}

    /** The holder of the claim still had the answer of the first run, and it is at hand. */
    record KeptAnswerFound() implements RequestEvent {}

    /** The answer of the first run is not to be had. */
    record KeptAnswerMissing() implements RequestEvent {}

    /**
     * A slot is free for the request.
     *
     * @param upstream the upstream with the slot
     * @param attempt a new identifier, for the attempt that this slot is for
     */
    record SlotGranted(UpstreamId upstream, AttemptId attempt) implements RequestEvent {}

    /**
     * The process is about to send the first byte. It may do so only if this event's actions hold
     * {@link RequestAction.Send}.
     *
     * @param attempt the attempt
     */
    record ReadyToSend(AttemptId attempt) implements RequestEvent {}

    /**
     * The head of the answer arrived.
     *
     * @param attempt the attempt that the upstream echoed
     */
    record HeadReceived(AttemptId attempt) implements RequestEvent {}

    /**
     * A piece of the answer arrived.
     *
     * @param attempt the attempt
     * @param index the place of the piece in the answer, from 0
     */
    record ChunkReceived(AttemptId attempt, int index) implements RequestEvent {}

    /**
     * The end mark of the answer arrived.
     *
     * @param attempt the attempt
     */
    record EndReceived(AttemptId attempt) implements RequestEvent {}

    /**
     * The attempt ended without a whole answer.
     *
     * @param attempt the attempt
     * @param end how
     */
    record AttemptFailed(AttemptId attempt, AttemptEnd end) implements RequestEvent {}

    /**
     * The request will get no slot or no claim.
     *
     * @param kind why
     * @param retryAfterMillis when the caller may come back, in milliseconds from now
     */
    record Refused(ErrorKind kind, long retryAfterMillis) implements RequestEvent {}

    /** The deadline passed. */
    record DeadlinePassed() implements RequestEvent {}

    /** The caller closed its connection. */
    record CallerGone() implements RequestEvent {}

    /** The instance stops and gives up what it has not sent. */
    record Stopping() implements RequestEvent {}
}
