package org.magnoliapick.gateway.internal.log;

/**
 * Runs tasks of the event loop. The loop ends a series of tasks when one of them throws, and logs
 * that nowhere, so a fault is caught and logged here.
 */
public final class FaultGuard {
    private final EventLog mLog;

    /** The number of faults that could not be logged, because the log failed as well. */
    private int mUnlogged;

    /** Creates a guard that logs faults. */
    public FaultGuard(EventLog log) {
        mLog = log;
    }

    /** Runs a step; returns whether it ended without a fault. */
    public boolean run(String name, Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException | Error e) {
            log(name, e);
            return false;
        }
    }

    private void log(String name, Throwable fault) {
        try {
            mLog.line("step.fault")
                    .with("step", name)
                    .withFault(fault)
                    .with("unloggedBefore", mUnlogged)
                    .log();
            mUnlogged = 0;
        } catch (RuntimeException | Error e) {
            mUnlogged++;
        }
    }
}
