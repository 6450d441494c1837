package org.magnoliapick.bench.driver;

import java.util.ArrayList;
import java.util.List;

/** Records service, backlog and use of capacity over time. */
public final class ServiceMeter {
    /** The time between two samples, in milliseconds. */
    public static final long SAMPLE_MILLIS = 100;

    private final List<Flow> mFlows;
    private final double[] mServedUnits;
    private final int[] mWaitingByFlow;
    private final boolean[] mIdleSinceSample;
    private final int[] mWaitingByTarget;
    private final int[] mRunningByTarget;
    private final int[] mSlotsByTarget;
    private final double[] mBusyMicros;
    private final double[] mOfferedMicros;
    private final double[] mMostInFlightUnits;
    private final List<double[]> mServiceSamples = new ArrayList<>();
    private final List<boolean[]> mBacklogSamples = new ArrayList<>();
    private final List<double[]> mBusySamples = new ArrayList<>();
    private final List<double[]> mOfferedSamples = new ArrayList<>();
    private long mUpdatedMicros;

    ServiceMeter(List<Flow> flows, int targets) {
        mFlows = flows;
        mServedUnits = new double[flows.size()];
        mWaitingByFlow = new int[flows.size()];
        mIdleSinceSample = new boolean[flows.size()];
        mWaitingByTarget = new int[targets];
        mRunningByTarget = new int[targets];
        mSlotsByTarget = new int[targets];
        mBusyMicros = new double[targets];
        mOfferedMicros = new double[targets];
        mMostInFlightUnits = new double[targets];
    }

    void startAt(long nowMicros) {
        mUpdatedMicros = nowMicros;
    }

    /** Notes that the request waits from now on, or no longer. */
    void waiting(BenchRequest request, boolean waiting, long nowMicros) {
        if (request.mWaiting == waiting) {
            return;
        }
        integrate(nowMicros);
        request.mWaiting = waiting;
        Flow flow = request.mFlow;
        int change = waiting ? 1 : -1;
        mWaitingByTarget[flow.targetIndex()] += change;
        mWaitingByFlow[flow.index()] += change;
        if (mWaitingByFlow[flow.index()] == 0) {
            mIdleSinceSample[flow.index()] = true;
        }
    }

    void running(int target, int change, long nowMicros) {
        integrate(nowMicros);
        mRunningByTarget[target] += change;
    }

    void slots(int target, int change, long nowMicros) {
        integrate(nowMicros);
        mSlotsByTarget[target] += change;
    }

    void served(Flow flow, double units) {
        mServedUnits[flow.index()] += units;
    }

    /** Takes a sample; the arrays hold what the present batches have used and will cost. */
    void sample(double[] runningUnits, double[] inFlightUnits, long nowMicros) {
        integrate(nowMicros);
        double[] service = new double[mFlows.size()];
        boolean[] backlog = new boolean[mFlows.size()];
        for (int i = 0; i < service.length; i++) {
            service[i] = (mServedUnits[i] + runningUnits[i]) / mFlows.get(i).share();
            backlog[i] = mWaitingByFlow[i] > 0 && !mIdleSinceSample[i];
            mIdleSinceSample[i] = mWaitingByFlow[i] == 0;
        }
        mServiceSamples.add(service);
        mBacklogSamples.add(backlog);
        mBusySamples.add(mBusyMicros.clone());
        mOfferedSamples.add(mOfferedMicros.clone());
        for (int i = 0; i < inFlightUnits.length; i++) {
            mMostInFlightUnits[i] = Math.max(mMostInFlightUnits[i], inFlightUnits[i]);
        }
    }

    /** Returns the flows. */
    public List<Flow> flows() {
        return mFlows;
    }

    /** Returns the number of samples. */
    public int samples() {
        return mServiceSamples.size();
    }

    /** Returns the normalised service of each flow at a sample, in service units. */
    public double[] service(int sample) {
        return mServiceSamples.get(sample);
    }

    /** Returns which flows were backlogged all the time between a sample and the one before. */
    public boolean[] backlog(int sample) {
        return mBacklogSamples.get(sample);
    }

    /** Returns the most work that was in flight to a target, in service units. */
    public double mostInFlightUnits(int target) {
        return mMostInFlightUnits[target];
    }

    /** Returns slot-time used up to a sample while work waited, in microseconds, by target. */
    public double[] busyMicros(int sample) {
        return mBusySamples.get(sample);
    }

    /** Returns slot-time there was up to a sample while work waited, in microseconds, by target. */
    public double[] offeredMicros(int sample) {
        return mOfferedSamples.get(sample);
    }

    private void integrate(long nowMicros) {
        long elapsedMicros = nowMicros - mUpdatedMicros;
        if (elapsedMicros == 0) {
            return;
        }
        mUpdatedMicros = nowMicros;
        for (int i = 0; i < mWaitingByTarget.length; i++) {
            if (mWaitingByTarget[i] > 0) {
                int busy = Math.min(mRunningByTarget[i], mSlotsByTarget[i]);
                mBusyMicros[i] += (double) busy * elapsedMicros;
                mOfferedMicros[i] += (double) mSlotsByTarget[i] * elapsedMicros;
            }
        }
    }
}
