package org.magnoliapick.relay;

import org.magnoliapick.route.CallerLimits;

/**
 * Decides when a caller's connection has waited too long for the next request. A wait only ends at
 * a check that follows another one at which it was overdue: bytes that arrived earlier and were not
 * read yet, as on a busy event loop, have been read in between.
 */
public final class RequestWait {
    private long mSinceMillis;
    private long mIdleLimitMillis;
    private boolean mHeadBegun;
    private boolean mOverdue;

    /** What is to be done with a connection that waits for a request. */
    public enum Verdict {
        /** The connection stays open. */
        KEEP,
        /** The caller sent nothing for too long, so the connection is closed. */
        CLOSE,
        /** The caller did not complete a request head in time, so the request is rejected. */
        REJECT
    }

    /**
     * Begins a wait: the connection was opened, or a response has ended.
     *
     * @param limits the limits in force, which the caller may rely on until its next request
     */
    public void begin(CallerLimits limits, long nowMillis) {
        mSinceMillis = nowMillis;
        mIdleLimitMillis = limits.idleTimeoutMillis();
        mHeadBegun = false;
        mOverdue = false;
    }

    /**
     * Checks whether the wait is over.
     *
     * @param limits the limits in force now
     * @param headBegun whether part of a request head has arrived
     * @param closing whether idle connections are closed at once
     */
    public Verdict check(CallerLimits limits, boolean headBegun, boolean closing, long nowMillis) {
        if (headBegun && !mHeadBegun) {
            mHeadBegun = true;
            mSinceMillis = nowMillis;
            mOverdue = false;
        }
        boolean wasOverdue = mOverdue;
        mOverdue = isOverdue(limits, closing, nowMillis);
        if (!mOverdue || !wasOverdue) {
            return Verdict.KEEP;
        }
        return mHeadBegun ? Verdict.REJECT : Verdict.CLOSE;
    }

    private boolean isOverdue(CallerLimits limits, boolean closing, long nowMillis) {
        if (mHeadBegun) {
            return waitedMillis(nowMillis) > limits.headerTimeoutMillis();
        }
        return closing || waitedMillis(nowMillis) > idleLimitMillis(limits);
    }

    /** Returns how long the connection has waited for a request head, or for the rest of one. */
    public long waitedMillis(long nowMillis) {
        return nowMillis - mSinceMillis;
    }

    /** Returns the time for which the connection may be idle; a lower limit applies later. */
    public long idleLimitMillis(CallerLimits limits) {
        return Math.max(mIdleLimitMillis, limits.idleTimeoutMillis());
    }
}
