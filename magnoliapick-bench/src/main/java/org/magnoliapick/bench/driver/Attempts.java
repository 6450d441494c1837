package org.magnoliapick.bench.driver;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.QueuedRequest;

/** Carries attempts to upstreams and their ends back to the entry instances. */
final class Attempts implements FakeUpstream.Listener {
    /** Takes the end of an attempt at the entry instance that started it. */
    interface Ends {
        /** The attempt ended; the request ends with it or is queued again. */
        void ended(BenchRequest request, AttemptOutcome end, double usedUnits);
    }

    private static final long LATEST_START_AFTER_LEAVING_MICROS = 5 * Times.MICROS_PER_SECOND;

    private final EventQueue mEvents;
    private final Network mNetwork;
    private final long mTimeoutMicros;
    private final Ends mEnds;
    private final Set<Execution> mOpen = new LinkedHashSet<>();
    private ServiceMeter mMeter;
    private Measurements mMeasurements;

    Attempts(EventQueue events, Network network, long timeoutMicros, Ends ends) {
        mEvents = events;
        mNetwork = network;
        mTimeoutMicros = timeoutMicros;
        mEnds = ends;
    }

    void measureWith(ServiceMeter meter, Measurements measurements) {
        mMeter = meter;
        mMeasurements = measurements;
    }

    /** Sends a request to an upstream. */
    void start(BenchRequest request, FakeUpstream upstream) {
        Execution execution = new Execution(request, upstream);
        request.mExecution = execution;
        mOpen.add(execution);
        String from = request.mRouter.mDomain;
        long delayMicros = mNetwork.delayMicros(from, upstream.domain());
        mEvents.after(delayMicros, () -> arrive(execution));
    }

    /** Gives up all attempts of an entry instance that is lost; the upstreams notice at once. */
    void abandonAllOf(RouterSlot router) {
        for (Execution execution : new ArrayList<>(mOpen)) {
            if (execution.mRequest.mRouter == router) {
                abandon(execution);
                if (reaches(execution) && execution.mUpstream.isUp()) {
                    execution.mUpstream.cancel(execution);
                }
            }
        }
    }

    /** Breaks the attempts whose router and upstream cannot reach each other. */
    void breakCut() {
        for (Execution execution : new ArrayList<>(mOpen)) {
            if (!reaches(execution)) {
                double usedUnits = execution.mUpstream.usedUnits(execution);
                boolean waiting = execution.mState == Execution.State.WAITING;
                fail(
                        execution,
                        waiting ? AttemptOutcome.REFUSED : AttemptOutcome.FAILED,
                        usedUnits);
            }
        }
    }

    /** Stops an upstream; its attempts fail. */
    void stop(FakeUpstream upstream) {
        for (Execution execution : upstream.stop()) {
            if (!execution.mAbandoned) {
                double usedUnits = execution.mUsedUnits;
                afterReturn(execution, () -> fail(execution, AttemptOutcome.FAILED, usedUnits));
            }
        }
    }

    /** Returns the attempts that an entry instance waits for. */
    List<Execution> openOf(RouterSlot router) {
        List<Execution> own = new ArrayList<>();
        for (Execution execution :
                router.mRequests.values().stream()
                        .map(request -> request.mExecution)
                        .filter(execution -> execution != null)
                        .toList()) {
            if (execution.mState == Execution.State.RUNNING && reaches(execution)) {
                own.add(execution);
            }
        }
        return own;
    }

    @Override
    public void started(Execution execution) {
        BenchRequest request = execution.mRequest;
        long nowMicros = mEvents.nowMicros();
        mMeter.running(request.mFlow.targetIndex(), 1, nowMicros);
        if (!execution.mAbandoned) {
            mMeter.waiting(request, false, nowMicros);
            mMeasurements.started(request, nowMicros);
        }
    }

    @Override
    public void left(Execution execution, boolean whole) {
        Flow flow = execution.mRequest.mFlow;
        mMeter.running(flow.targetIndex(), -1, mEvents.nowMicros());
        mMeter.served(flow, execution.mUsedUnits);
        if (whole && !execution.mAbandoned) {
            afterReturn(execution, () -> returnWhole(execution));
        }
    }

    private void arrive(Execution execution) {
        if (execution.mAbandoned) {
            return;
        }
        if (!reaches(execution)) {
            mEvents.after(mTimeoutMicros, () -> fail(execution, AttemptOutcome.REFUSED, 0));
            return;
        }
        FakeUpstream upstream = execution.mUpstream;
        if (!upstream.isUp()) {
            afterReturn(execution, () -> fail(execution, AttemptOutcome.REFUSED, 0));
            return;
        }
        long leavingMicros = mEvents.nowMicros() - upstream.leavingSinceMicros();
        if (upstream.isLeaving() && leavingMicros > LATEST_START_AFTER_LEAVING_MICROS) {
            mMeasurements.startedAfterLeaving();
        }
        upstream.offer(execution);
    }

    private void returnWhole(Execution execution) {
        if (execution.mAbandoned || !reaches(execution)) {
            return;
        }
        abandon(execution);
        mEnds.ended(execution.mRequest, AttemptOutcome.WHOLE, execution.mUsedUnits);
    }

    private void fail(Execution execution, AttemptOutcome end, double usedUnits) {
        if (execution.mAbandoned) {
            return;
        }
        abandon(execution);
        mMeasurements.failedAttempt();
        BenchRequest request = execution.mRequest;
        mMeter.waiting(request, true, mEvents.nowMicros());
        excludeFrom(request, execution.mUpstream.id());
        mEnds.ended(request, end, usedUnits);
    }

    private void abandon(Execution execution) {
        execution.mAbandoned = true;
        execution.mRequest.mExecution = null;
        mOpen.remove(execution);
    }

    private boolean reaches(Execution execution) {
        return mNetwork.connects(execution.mRequest.mRouter.mDomain, execution.mUpstream.domain());
    }

    private void afterReturn(Execution execution, Runnable action) {
        String to = execution.mRequest.mRouter.mDomain;
        mEvents.after(mNetwork.delayMicros(execution.mUpstream.domain(), to), action);
    }

    private static void excludeFrom(BenchRequest request, UpstreamId upstream) {
        QueuedRequest old = request.mQueued;
        request.mQueued =
                new QueuedRequest(
                        old.id(),
                        old.workspace(),
                        old.target(),
                        old.kind(),
                        old.requestClass(),
                        old.hintUnits(),
                        old.deadlineMillis(),
                        old.prefixHashes(),
                        old.adapter(),
                        Set.of(upstream));
    }
}
