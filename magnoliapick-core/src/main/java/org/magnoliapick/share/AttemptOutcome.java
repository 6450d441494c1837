package org.magnoliapick.share;

/** Outcome of an attempt at an upstream, as used for service accounting and ejection. */
public enum AttemptOutcome {
    /** The complete response was received. */
    WHOLE(false),
    /** The upstream proved that it did not start the request. */
    REFUSED(true),
    /** The upstream failed, or its response was invalid or too late. */
    FAILED(true),
    /** The caller disconnected or its deadline passed. */
    CANCELLED(false);

    private final boolean mCountsAgainstUpstream;

    AttemptOutcome(boolean countsAgainstUpstream) {
        mCountsAgainstUpstream = countsAgainstUpstream;
    }

    /** Returns whether the outcome counts as a failure of the upstream for ejection. */
    public boolean countsAgainstUpstream() {
        return mCountsAgainstUpstream;
    }
}
