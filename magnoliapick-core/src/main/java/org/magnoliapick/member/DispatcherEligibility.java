package org.magnoliapick.member;

import java.util.OptionalLong;

/**
 * Whether this instance declines the dispatcher role, since all other instances wait for a
 * dispatcher: while it starts or stops, for some time after a stall, and while it is overloaded,
 * which is when its socket was not empty for long.
 */
public final class DispatcherEligibility {
    /** How late a tick is from which on this instance counts as stalled, in milliseconds. */
    private static final long STALL_MILLIS = 950;

    /** How long after its start an instance declines the role, in milliseconds. */
    private static final long STARTUP_MILLIS = 3_000;

    /** How long after a stall an instance declines the role, in milliseconds. */
    private static final long STALL_RECOVERY_MILLIS = 2_000;

    /**
     * How long messages may wait without interruption, in milliseconds: some times the time after
     * which a query is no longer pending, but longer than a short stall takes to catch up.
     */
    private static final long MAX_BACKLOG_MILLIS = 300;

    /** How long an instance declines the role after an overload, in milliseconds. */
    private static final long MIN_OVERLOAD_RECOVERY_MILLIS = 5_000;

    /**
     * The maximum of that time, in milliseconds; it doubles with each overload, since the role may
     * be what overloads the instance.
     */
    private static final long MAX_OVERLOAD_RECOVERY_MILLIS = 60_000;

    private final long mStartedMillis;
    private final LoopLag mLag;
    private final ReceiveBacklog mBacklog = new ReceiveBacklog();
    private long mLastStallMillis = Long.MIN_VALUE / 2;
    private long mOverloadRecoveryMillis;
    private long mOverloadEndMillis = Long.MIN_VALUE / 2;
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
        if (mBacklog.millis(nowMillis) > MAX_BACKLOG_MILLIS) {
            recordOverload(nowMillis);
        }
        long lagMillis = mLag.recordRun(nowMillis);
        if (lagMillis <= STALL_MILLIS) {
            return OptionalLong.empty();
        }
        mLastStallMillis = nowMillis;
        return OptionalLong.of(lagMillis);
    }

    private void recordOverload(long nowMillis) {
        if (!isOverloaded(nowMillis)) {
            boolean first = nowMillis - mOverloadEndMillis > MAX_OVERLOAD_RECOVERY_MILLIS;
            mOverloadRecoveryMillis =
                    first
                            ? MIN_OVERLOAD_RECOVERY_MILLIS
                            : Math.min(MAX_OVERLOAD_RECOVERY_MILLIS, 2 * mOverloadRecoveryMillis);
        }
        mOverloadEndMillis = nowMillis + mOverloadRecoveryMillis;
    }

    /** Returns whether this instance is overloaded or was so recently. */
    public boolean isOverloaded(long nowMillis) {
        return nowMillis < mOverloadEndMillis;
    }

    /** Returns whether this instance declines the role. */
    public boolean isDeclined(long nowMillis) {
        return mStopping
                || isOverloaded(nowMillis)
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
