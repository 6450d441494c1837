package org.magnoliapick.gateway.internal.peer;

import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.member.DispatcherEligibility;

/** Decides whether this instance declines the dispatcher role, and logs what slows it down. */
final class DispatcherRole {
    /** Maximum number of datagrams that are read before other tasks run. */
    static final int MAX_MESSAGES_PER_READ = 16;

    /** The interval of log lines on the lag, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** The lag from which on it is logged, in milliseconds. */
    private static final double LOGGED_LAG_MILLIS = 10;

    private final EventLog mLog;
    private final DispatcherEligibility mEligibility;
    private int mRead;
    private int mReadSinceLog;
    private long mLoggedMillis;
    private boolean mOverloaded;

    DispatcherRole(EventLog log, long tickIntervalMillis, long nowMillis) {
        mLog = log;
        mEligibility = new DispatcherEligibility(tickIntervalMillis, nowMillis);
    }

    /** Declines the role from now on. */
    void beginStop() {
        mEligibility.beginStop();
    }

    /** Returns whether this instance declines the role. */
    boolean isDeclined(long nowMillis) {
        return mEligibility.isDeclined(nowMillis);
    }

    /** Records that a datagram was read. */
    void messageRead() {
        mRead++;
        mReadSinceLog++;
    }

    /** Records that no further datagram is read before other tasks run. */
    void readCompleted(long nowMillis) {
        mEligibility.backlog().recordRead(mRead < MAX_MESSAGES_PER_READ, nowMillis);
        mRead = 0;
    }

    /** Records a periodic tick. */
    void tick(long nowMillis) {
        mEligibility
                .tick(nowMillis)
                .ifPresent(millis -> mLog.line("instance.held-up").with("millis", millis).log());
        logOverload(nowMillis);
        if (nowMillis - mLoggedMillis >= LOG_INTERVAL_MILLIS) {
            mLoggedMillis = nowMillis;
            logLag();
        }
    }

    private void logOverload(long nowMillis) {
        boolean overloaded = mEligibility.isOverloaded(nowMillis);
        if (overloaded != mOverloaded) {
            mOverloaded = overloaded;
            mLog.line(overloaded ? "instance.overloaded" : "instance.recovered")
                    .with("backlogMillis", mEligibility.backlog().millis(nowMillis))
                    .with("meanMillis", Math.round(mEligibility.lag().meanMillis()))
                    .log();
        }
    }

    private void logLag() {
        double meanMillis = mEligibility.lag().meanMillis();
        long maxMillis = mEligibility.lag().takeMaxMillis();
        long backlogMillis = mEligibility.backlog().takeMaxMillis();
        int read = mReadSinceLog;
        mReadSinceLog = 0;
        if (meanMillis >= LOGGED_LAG_MILLIS || backlogMillis >= LOGGED_LAG_MILLIS) {
            mLog.line("instance.lag")
                    .with("meanMillis", Math.round(meanMillis))
                    .with("maxMillis", maxMillis)
                    .with("backlogMillis", backlogMillis)
                    .with("datagrams", read)
                    .log();
        }
    }
}
