package org.magnoliapick.member;

import java.util.OptionalLong;

/**
 * Whether this instance declines the dispatcher role: while it starts or stops, and for some time
 * after a stall, since all other instances wait for a dispatcher.
 */
public final class DispatcherEligibility {
    /** How late a tick is from which on this instance counts as stalled, in milliseconds. */
    private static final long STALL_MILLIS = 950;

    /** How long after its start an instance declines the role, in milliseconds. */
    private static final long STARTUP_MILLIS = 3_000;

    /** How long after a stall an instance declines the role, in milliseconds. */
    private static final long STALL_RECOVERY_MILLIS = 2_000;

    private final long mStartedMillis;
    private final LoopLag mLag;
    private final ReceiveBacklog mBacklog = new ReceiveBacklog();
    private long mLastStallMillis = Long.MIN_VALUE / 2;
    private boolean mStopping;

    /**
     * Creates the state of an instance that starts.
     *
     * @param tickIntervalMillis the time between the ticks of an idle instance
     */
    public DispatcherEligibility(long tickIntervalMillis, long startedMillis) {
        mLag = new LoopLag(tickIntervalMillis);
        mStartedMillis = startedMillis;
    }

    /** Declines the role from now on. */
    public void beginStop() {
        mStopping = true;
    }

    /** Records a tick; returns how late it is if that is a stall. */
    public OptionalLong tick(long nowMillis) {
        long lagMillis = mLag.recordRun(nowMillis);
        if (lagMillis <= STALL_MILLIS) {
            return OptionalLong.empty();
        }
        mLastStallMillis = nowMillis;
        return OptionalLong.of(lagMillis);
    }

    /** Returns whether this instance declines the role. */
    public boolean isDeclined(long nowMillis) {
        return mStopping
                || nowMillis - mStartedMillis < STARTUP_MILLIS
                || nowMillis - mLastStallMillis < STALL_RECOVERY_MILLIS;
    }

    /** Returns how late the ticks are. */
    public LoopLag lag() {
        return mLag;
    }

    /** Returns how long messages of other instances have been waiting. */
    public ReceiveBacklog backlog() {
        return mBacklog;
    }
}
