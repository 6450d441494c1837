package org.magnoliapick.memory;

/**
 * Decides when a transfer has made no progress for too long. Like {@link
 * org.magnoliapick.relay.RequestWait}, it only ends at a check that follows another one at which it
 * was overdue, so that bytes that wait to be read on a busy event loop count.
 */
public final class ProgressWait {
    private long mProgress = -1;
    private long mSinceMillis;
    private boolean mOverdue;

    /** Begins another transfer. */
    public void reset() {
        mProgress = -1;
    }

    /**
     * Checks whether the transfer is overdue.
     *
     * @param progress a number that differs from the former one after any progress; not negative
     * @param limitMillis the longest time without progress
     */
    public boolean isOverdue(long progress, long limitMillis, long nowMillis) {
        if (progress != mProgress) {
            mProgress = progress;
            mSinceMillis = nowMillis;
            mOverdue = false;
            return false;
        }
        boolean wasOverdue = mOverdue;
        mOverdue = nowMillis - mSinceMillis > limitMillis;
        return mOverdue && wasOverdue;
    }
}
