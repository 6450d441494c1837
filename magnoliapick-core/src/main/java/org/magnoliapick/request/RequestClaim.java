package org.magnoliapick.request;

import java.util.Optional;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.claim.ClaimVerdict;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.errors.Outcome;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;

/** The claim of a request on its idempotency key, from the append to the recorded outcome. */
final class RequestClaim {
    private final Optional<AttemptId> mClaim;
    private boolean mOpen;

    /** The error to send if the kept answer is missing; empty if no kept answer is fetched. */
    private Optional<ErrorKind> mMissingAnswerKind = Optional.empty();

    RequestClaim(Optional<AttemptId> claim) {
        mClaim = claim;
    }

    /** Returns whether the request needs a claim before it may run. */
    boolean isRequired() {
        return mClaim.isPresent();
    }

    /** Opens the claim and returns the action that appends it. */
    RequestAction append() {
        mOpen = true;
        return new RequestAction.AppendClaim(mClaim.orElseThrow());
    }

    /** Returns whether the kept answer of an earlier claim is being fetched. */
    boolean isFetching() {
        return mMissingAnswerKind.isPresent();
    }

    /**
     * Closes this claim after it lost; returns the action that fetches the answer of the earlier
     * claim, or empty if the verdict names no instance that may have kept one.
     */
    Optional<RequestAction> fetchEarlierAnswer(ClaimVerdict verdict) {
        mOpen = false;
        if (verdict instanceof ClaimVerdict.AlreadyRun ran) {
            return fetch(ran.holder(), ran.claim(), ErrorKind.ALREADY_RUN);
        } else if (verdict instanceof ClaimVerdict.InProgress inProgress) {
            return fetch(inProgress.holder(), inProgress.claim(), ErrorKind.CLAIM_IN_PROGRESS);
        }
        return Optional.empty();
    }

    private Optional<RequestAction> fetch(
            InstanceId holder, AttemptId claim, ErrorKind missingAnswerKind) {
        mMissingAnswerKind = Optional.of(missingAnswerKind);
        return Optional.of(new RequestAction.FetchKeptAnswer(holder, claim));
    }

    /** Returns the error to send if the kept answer is missing. */
    ErrorKind missingAnswerKind() {
        return mMissingAnswerKind.orElseThrow();
    }

    /**
     * Returns the kind to report: {@code kind}, unless it says "not run" and the request may have
     * run under an earlier claim.
     */
    ErrorKind reportableKind(ErrorKind kind) {
        return kind.outcome() == Outcome.NOT_RUN ? mMissingAnswerKind.orElse(kind) : kind;
    }

    /**
     * Closes the claim and returns the action that records its outcome; empty if it is not open.
     */
    Optional<RequestAction> recordOutcome(ClaimOutcome outcome) {
        if (!mOpen) {
            return Optional.empty();
        }
        mOpen = false;
        return Optional.of(new RequestAction.RecordClaimOutcome(mClaim.orElseThrow(), outcome));
    }
}
