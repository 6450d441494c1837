package org.magnoliapick.bench.driver;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.magnoliapick.bench.scenario.UpstreamGroup;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.share.LoadReport;

/**
 * A continuously batching engine, or a plain service with workers. Each step gives every request in
 * the batch one service unit, and a step takes longer the larger the batch. What does not fit into
 * the batch waits inside in the order of arrival.
 */
final class FakeUpstream {
    /** Hears what happens inside. */
    interface Listener {
        /** The attempt has entered the batch. */
        void started(Execution execution);

        /** The attempt has left the batch, whole or not; its used units are set. */
        void left(Execution execution, boolean whole);
    }

    private static final double STEP_ROUNDING = 1e-6;
    private static final double LARGEST_TOKEN_GAP_MICROS = 40_000;

    private final UpstreamId mId;
    private final UpstreamGroup mGroup;
    private final EventQueue mEvents;
    private final Listener mListener;
    private final Deque<Execution> mWaiting = new ArrayDeque<>();
    private final PriorityQueue<Execution> mRunning =
            new PriorityQueue<>(Comparator.comparingDouble(e -> e.mFinishSteps));

    private double mSteps;
    private long mUpdatedMicros;
    private long mPlan;
    private boolean mUp = true;
    private boolean mLeaving;
    private long mLeavingSinceMicros;

    FakeUpstream(UpstreamId id, UpstreamGroup group, EventQueue events, Listener listener) {
        mId = id;
        mGroup = group;
        mEvents = events;
        mListener = listener;
    }

    UpstreamId id() {
        return mId;
    }

    UpstreamGroup group() {
        return mGroup;
    }

    String domain() {
        return mGroup.domain();
    }

    boolean isUp() {
        return mUp;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    long leavingSinceMicros() {
        return mLeavingSinceMicros;
    }

    void setLeaving(boolean leaving) {
        mLeaving = leaving;
        mLeavingSinceMicros = mEvents.nowMicros();
    }

    /** Returns how many requests fit into the batch within the wanted time between tokens. */
    int slots() {
        if (mGroup.stepPerRequestMicros() == 0) {
            return mGroup.slots();
        }
        double spare = LARGEST_TOKEN_GAP_MICROS - mGroup.stepBaseMicros();
        int withinTarget = (int) (spare / mGroup.stepPerRequestMicros());
        return Math.max(1, Math.min(mGroup.slots(), withinTarget));
    }

    /** Takes a request as it comes. */
    void offer(Execution execution) {
        advance();
        mWaiting.add(execution);
        admit();
        plan();
    }

    /** Ends an attempt that runs or waits inside. */
    void cancel(Execution execution) {
        advance();
        if (execution.mState == Execution.State.RUNNING) {
            mRunning.remove(execution);
            leave(execution, false);
        } else {
            mWaiting.remove(execution);
            execution.mState = Execution.State.ENDED;
        }
        admit();
        plan();
    }

    /** Stops at once and forgets all attempts; returns them. */
    List<Execution> stop() {
        advance();
        mUp = false;
        List<Execution> lost = new ArrayList<>(mWaiting);
        mWaiting.forEach(e -> e.mState = Execution.State.ENDED);
        mWaiting.clear();
        while (!mRunning.isEmpty()) {
            Execution execution = mRunning.poll();
            lost.add(execution);
            leave(execution, false);
        }
        plan();
        return lost;
    }

    /** Starts again, empty. */
    void restart() {
        mUpdatedMicros = mEvents.nowMicros();
        mUp = true;
    }

    /** Returns what the attempt has used so far, in service units. */
    double usedUnits(Execution execution) {
        if (execution.mState != Execution.State.RUNNING) {
            return execution.mUsedUnits;
        }
        advance();
        return Math.min(mSteps, execution.mFinishSteps) - execution.mStartSteps;
    }

    /** Adds what each flow has used in the present batch, and the cost of the batch. */
    void addRunning(double[] usedByFlow, double[] costByTarget) {
        advance();
        for (Execution execution : mRunning) {
            Flow flow = execution.mRequest.mFlow;
            usedByFlow[flow.index()] += usedUnits(execution);
            costByTarget[flow.targetIndex()] += execution.mRequest.mCostUnits;
        }
        for (Execution execution : mWaiting) {
            Flow flow = execution.mRequest.mFlow;
            costByTarget[flow.targetIndex()] += execution.mRequest.mCostUnits;
        }
    }

    LoadReport report() {
        double used = (double) mRunning.size() / mGroup.slots();
        long takenAtMillis = mEvents.nowMillis();
        return new LoadReport(
                takenAtMillis, mRunning.size(), mWaiting.size(), mGroup.slots(), used);
    }

    private void advance() {
        long nowMicros = mEvents.nowMicros();
        if (!mRunning.isEmpty()) {
            double stepMicros = mGroup.stepMicros(mRunning.size());
            mSteps += (nowMicros - mUpdatedMicros) / stepMicros;
        }
        mUpdatedMicros = nowMicros;
    }

    private void admit() {
        while (mUp && mRunning.size() < mGroup.slots() && !mWaiting.isEmpty()) {
            Execution execution = mWaiting.poll();
            execution.mState = Execution.State.RUNNING;
            execution.mStartSteps = mSteps;
            execution.mFinishSteps = mSteps + execution.mRequest.mCostUnits;
            mRunning.add(execution);
            mListener.started(execution);
        }
    }

    private void plan() {
        long plan = ++mPlan;
        if (mRunning.isEmpty()) {
            return;
        }
        double steps = Math.max(0, mRunning.peek().mFinishSteps - mSteps);
        long delayMicros = (long) Math.ceil(steps * mGroup.stepMicros(mRunning.size()));
        mEvents.after(delayMicros, () -> complete(plan));
    }

    private void complete(long plan) {
        if (plan != mPlan) {
            return;
        }
        advance();
        List<Execution> done = new ArrayList<>();
        while (!mRunning.isEmpty() && mRunning.peek().mFinishSteps <= mSteps + STEP_ROUNDING) {
            done.add(mRunning.poll());
        }
        admit();
        plan();
        done.forEach(execution -> leave(execution, true));
    }

    private void leave(Execution execution, boolean whole) {
        double used = whole ? execution.mRequest.mCostUnits : mSteps - execution.mStartSteps;
        execution.mUsedUnits = Math.min(used, execution.mRequest.mCostUnits);
        execution.mState = Execution.State.ENDED;
        mListener.left(execution, whole);
    }
}
