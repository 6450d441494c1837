package org.magnoliapick.request;

import org.magnoliapick.claim.ClaimVerdict;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.UpstreamId;

/** An input of a {@link RequestMachine}. */
public sealed interface RequestEvent {
    /** The request was parsed, authenticated and authorized. */
    record Admitted() implements RequestEvent {}

    /**
     * The log decided the claim.
     *
     * @param verdict the verdict on the claim
     */
    record ClaimDecided(ClaimVerdict verdict) implements RequestEvent {}

    /** The answer of the first run was fetched from the instance that holds the claim. */
    record KeptAnswerFound() implements RequestEvent {}

    /** The answer of the first run is not available. */
    record KeptAnswerMissing() implements RequestEvent {}

    /**
     * A slot was granted to the request.
     *
     * @param upstream the upstream with the slot
     * @param attempt a new identifier for the attempt that uses this slot
     */
    record SlotGranted(UpstreamId upstream, AttemptId attempt) implements RequestEvent {}

    /**
     * The process is ready to send the first byte. It may do so only if the actions returned for
     * this event contain {@link RequestAction.Send}.
     *
     * @param attempt the attempt
     */
    record ReadyToSend(AttemptId attempt) implements RequestEvent {}

    /**
     * The head of the answer arrived.
     *
     * @param attempt the attempt identifier that the upstream echoed
     */
    record HeadReceived(AttemptId attempt) implements RequestEvent {}

    /**
     * A chunk of the answer arrived.
     *
     * @param attempt the attempt
     * @param index the index of the chunk in the answer, from 0
     */
    record ChunkReceived(AttemptId attempt, int index) implements RequestEvent {}

    /**
     * The end mark of the answer arrived.
     *
     * @param attempt the attempt
     */
    record EndReceived(AttemptId attempt) implements RequestEvent {}

    /**
     * The attempt ended without a complete answer.
     *
     * @param attempt the attempt
     * @param end how the attempt ended
     */
    record AttemptFailed(AttemptId attempt, AttemptEnd end) implements RequestEvent {}

    /**
     * The request was refused a slot or its claim could not be decided.
     *
     * @param kind the reason
     * @param retryAfterMillis when the caller may retry, in milliseconds from now
     */
    record Refused(ErrorKind kind, long retryAfterMillis) implements RequestEvent {}

    /** The deadline passed. */
    record DeadlinePassed() implements RequestEvent {}

    /** The caller closed its connection. */
    record CallerGone() implements RequestEvent {}

    /** The instance is stopping and abandons requests that hold no slot. */
    record Stopping() implements RequestEvent {}
}
