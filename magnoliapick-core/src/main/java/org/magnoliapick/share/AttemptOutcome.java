package org.magnoliapick.share;

/** How an attempt at an upstream ended, as far as shares and ejection are concerned. */
public enum AttemptOutcome {
    /** The whole answer came. */
    WHOLE(false),
    /** The upstream proved that it did not start the request. */
    REFUSED(true),
    /** The upstream failed, or its answer was broken or late. */
    FAILED(true),
    /** The caller went away or its deadline passed. */
    CANCELLED(false);

    private final boolean mCountsAgainstUpstream;

    AttemptOutcome(boolean countsAgainstUpstream) {
        mCountsAgainstUpstream = countsAgainstUpstream;
    }

    /** Returns whether the end speaks against the health of the upstream. */
    public boolean countsAgainstUpstream() {
        return mCountsAgainstUpstream;
    }
}
