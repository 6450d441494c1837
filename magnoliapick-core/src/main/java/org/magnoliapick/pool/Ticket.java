package org.magnoliapick.pool;

/** A request's use of an upstream, from the decision to the end of the attempt. */
public final class Ticket {
    private final ListedUpstream mUpstream;
    private final long mNewTokens;
    private final long mMemoryTokens;
    private final long mAheadTokens;
    private final long mStartedMillis;
    private boolean mPrefilling = true;
    private boolean mOpen = true;

    Ticket(
            ListedUpstream upstream,
            long newTokens,
            long memoryTokens,
            long aheadTokens,
            long startedMillis) {
        mUpstream = upstream;
        mNewTokens = newTokens;
        mMemoryTokens = memoryTokens;
        mAheadTokens = aheadTokens;
        mStartedMillis = startedMillis;
    }

    /** Returns the ticket of a request that a dispatcher granted to this instance. */
    static Ticket ofGrant(
            ListedUpstream upstream, PoolJob job, PoolDecision.Start start, long nowMillis) {
        return new Ticket(
                upstream,
                start.newTokens(),
                PlacementPolicy.memoryTokens(job, start.newTokens()),
                start.aheadTokens(),
                nowMillis);
    }

    /** Returns the upstream to which the request is sent. */
    public ListedUpstream upstream() {
        return mUpstream;
    }

    /** Returns how many tokens of the prompt the upstream is expected to prefill. */
    public long newTokens() {
        return mNewTokens;
    }

    /** Returns the estimated prefill backlog of the upstream before this request, in tokens. */
    public long aheadTokens() {
        return mAheadTokens;
    }

    /** Returns how much memory the request may fill, in tokens. */
    public long memoryTokens() {
        return mMemoryTokens;
    }

    /** Returns when the request was placed. */
    public long startedMillis() {
        return mStartedMillis;
    }

    boolean isPrefilling() {
        return mPrefilling;
    }

    void finishPrefill() {
        mPrefilling = false;
    }

    /** Closes the ticket; returns whether it was open. */
    boolean close() {
        boolean wasOpen = mOpen;
        mOpen = false;
        return wasOpen;
    }
}
