package org.magnoliapick.request;

import java.util.Optional;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.errors.Outcome;

/** What is known of whether a request ran at an upstream. */
final class RunRecord {
    private boolean mMayHaveRun;
    private Optional<ErrorKind> mLastFailure = Optional.empty();

    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Notes that the request was given up after it was sent. */
    void givenUpAfterSend() {
        mMayHaveRun = true;
    }

    /** Notes that an attempt failed without proof that it did not run. */
    void failed(AttemptEnd end) {
        mMayHaveRun = true;
        mLastFailure = Optional.of(end.errorKind());
    }

    /** Replaces a kind that says "not run" if an earlier attempt may have run. */
    ErrorKind truthful(ErrorKind kind) {
        if (mMayHaveRun && kind.outcome() == Outcome.NOT_RUN) {
            return mLastFailure.orElse(ErrorKind.INTERNAL_AFTER_START);
        }
        return kind;
    }

    /** Returns how the claim of a request that failed ended. */
    ClaimOutcome claimOutcome() {
        return mMayHaveRun ? ClaimOutcome.UNKNOWN : ClaimOutcome.NOT_RUN;
    }
}
