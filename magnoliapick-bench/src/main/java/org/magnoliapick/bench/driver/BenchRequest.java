package org.magnoliapick.bench.driver;

import org.magnoliapick.share.QueuedRequest;

/** A request of a caller, from its arrival to its end. */
final class BenchRequest {
    final Caller mCaller;
    final Flow mFlow;
    final double mCostUnits;
    final long mArrivalMicros;
    final RouterSlot mRouter;

    /** Which of the fixed callers sent it; -1 for an arrival of a Poisson process. */
    final int mCallerIndex;

    QueuedRequest mQueued;
    Execution mExecution;
    boolean mWaiting;

    BenchRequest(
            Caller caller,
            int callerIndex,
            double costUnits,
            long arrivalMicros,
            RouterSlot router,
            QueuedRequest queued) {
        mCaller = caller;
        mCallerIndex = callerIndex;
        mFlow = caller.flow();
        mCostUnits = costUnits;
        mArrivalMicros = arrivalMicros;
        mRouter = router;
        mQueued = queued;
    }
}
