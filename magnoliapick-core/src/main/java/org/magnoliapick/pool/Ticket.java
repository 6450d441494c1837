package org.magnoliapick.pool;

/** A request's place at an upstream, from the decision to the end of the attempt. */
public final class Ticket {
    private final ListedUpstream mUpstream;
    private final long mNewTokens;
    private final long mMemoryTokens;
    private final long mAheadTokens;
    private final long mStartedMillis;
    private boolean mReading = true;
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

    /** Returns the upstream that the request goes to. */
    public ListedUpstream upstream() {
        return mUpstream;
    }

    /** Returns how many tokens of the prompt the upstream is expected to read. */
    public long newTokens() {
        return mNewTokens;
    }

    /** Returns how many tokens it was expected to read before. */
    public long aheadTokens() {
        return mAheadTokens;
    }

    /** Returns how much memory the request may come to fill, in tokens. */
    public long memoryTokens() {
        return mMemoryTokens;
    }

    long startedMillis() {
        return mStartedMillis;
    }

    boolean reading() {
        return mReading;
    }

    void readingDone() {
        mReading = false;
    }

    boolean close() {
        boolean open = mOpen;
        mOpen = false;
        return open;
    }
}
