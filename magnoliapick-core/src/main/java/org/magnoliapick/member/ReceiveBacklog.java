package org.magnoliapick.member;

/** How long messages have been waiting in a socket without interruption. */
public final class ReceiveBacklog {
    private static final long NONE = -1;

    private long mSinceMillis = NONE;
    private long mMaxMillis;

    /**
     * Records that messages were read.
     *
     * @param emptied whether no further message was waiting
     */
    public void recordRead(boolean emptied, long nowMillis) {
        mMaxMillis = Math.max(mMaxMillis, millis(nowMillis));
        if (emptied) {
            mSinceMillis = NONE;
        } else if (mSinceMillis == NONE) {
            mSinceMillis = nowMillis;
        }
    }

    /** Returns for how long messages have been waiting; 0 if none was waiting after a read. */
    public long millis(long nowMillis) {
        return mSinceMillis == NONE ? 0 : nowMillis - mSinceMillis;
    }

    /** Returns the maximum of that time since the last call, in milliseconds. */
    public long takeMaxMillis() {
        long maxMillis = mMaxMillis;
        mMaxMillis = 0;
        return maxMillis;
    }
}
