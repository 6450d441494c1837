package org.magnoliapick.request;

import java.util.Optional;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.errors.Outcome;

/** Records whether a request may have run at an upstream. */
final class RunRecord {
    private boolean mMayHaveRun;
    private Optional<ErrorKind> mLastFailure = Optional.empty();

    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Records that the request was abandoned after it was sent. */
    void recordAbandoned() {
        mMayHaveRun = true;
    }

    /** Records that an attempt failed without proof that it did not run. */
    void recordFailure(AttemptEnd end) {
        mMayHaveRun = true;
        mLastFailure = Optional.of(end.errorKind());
    }

    /**
     * Returns the kind to report: {@code kind}, unless it says "not run" and an attempt may have
     * run.
     */
    ErrorKind reportableKind(ErrorKind kind) {
        if (mMayHaveRun && kind.outcome() == Outcome.NOT_RUN) {
            return mLastFailure.orElse(ErrorKind.INTERNAL_AFTER_START);
        }
        return kind;
    }

    /** Returns the outcome to record for the claim of a failed request. */
    ClaimOutcome claimOutcome() {
        return mMayHaveRun ? ClaimOutcome.UNKNOWN : ClaimOutcome.NOT_RUN;
    }
}
