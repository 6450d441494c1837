package org.magnoliapick.bench.driver;

/** One attempt of a request at one upstream. */
final class Execution {
    /** Where the attempt is. */
    enum State {
        /** On its way to the upstream, or in its internal queue. */
        WAITING,
        /** In the batch. */
        RUNNING,
        /** Finished, cancelled or failed. */
        ENDED
    }

    final BenchRequest mRequest;
    final FakeUpstream mUpstream;
    State mState = State.WAITING;

    /** Whether the router has given the attempt up; it may still run at the upstream. */
    boolean mAbandoned;

    /** The upstream's step count at which the attempt entered the batch. */
    double mStartSteps;

    /** The upstream's step count at which the attempt ends. */
    double mFinishSteps;

    /** What the attempt used, in service units, once it has ended. */
    double mUsedUnits;

    Execution(BenchRequest request, FakeUpstream upstream) {
        mRequest = request;
        mUpstream = upstream;
    }
}
