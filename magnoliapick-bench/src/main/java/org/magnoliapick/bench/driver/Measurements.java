package org.magnoliapick.bench.driver;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.magnoliapick.lib.RequestClass;

/** What one run gave. */
public final class Measurements {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final ServiceMeter mService;
    private final Map<RequestClass, Histogram> mQueueMillis = new EnumMap<>(RequestClass.class);
    private final double[] mLargestCostUnits;
    private final long mWarmUpMicros;
    private long mWhole;
    private long mRefused;
    private long mFailedAttempts;
    private long mStartsAfterLeaving;
    private ControlCost mControl;

    Measurements(ServiceMeter service, int targets, long warmUpMicros) {
        mService = service;
        mWarmUpMicros = warmUpMicros;
        mLargestCostUnits = new double[targets];
        for (RequestClass requestClass : RequestClass.values()) {
            mQueueMillis.put(requestClass, new Histogram(SIGNIFICANT_DIGITS));
        }
    }

    /** Returns service, backlog and use of capacity over time. */
    public ServiceMeter service() {
        return mService;
    }

    /** Returns the time from arrival to the batch by class, in milliseconds. */
    public Map<RequestClass, Histogram> queueMillis() {
        return mQueueMillis;
    }

    /** Returns the largest cost of a single request to a target, in service units. */
    public double largestCostUnits(int target) {
        return mLargestCostUnits[target];
    }

    /** Returns the number of requests that ended whole. */
    public long whole() {
        return mWhole;
    }

    /** Returns the number of refusals. */
    public long refused() {
        return mRefused;
    }

    /** Returns the number of attempts that failed. */
    public long failedAttempts() {
        return mFailedAttempts;
    }

    /** Returns the number of starts at an upstream that had been leaving for some seconds. */
    public long startsAfterLeaving() {
        return mStartsAfterLeaving;
    }

    /** Returns the control traffic. */
    public ControlCost control() {
        return mControl;
    }

    void arrived(BenchRequest request) {
        int target = request.mFlow.targetIndex();
        mLargestCostUnits[target] = Math.max(mLargestCostUnits[target], request.mCostUnits);
    }

    void started(BenchRequest request, long nowMicros) {
        if (request.mArrivalMicros < mWarmUpMicros) {
            return;
        }
        long waitedMillis = (nowMicros - request.mArrivalMicros) / Times.MICROS_PER_MILLI;
        mQueueMillis.get(request.mQueued.requestClass()).recordValue(waitedMillis);
    }

    void endedWhole() {
        mWhole++;
    }

    void refusedOne() {
        mRefused++;
    }

    void failedAttempt() {
        mFailedAttempts++;
    }

    void startedAfterLeaving() {
        mStartsAfterLeaving++;
    }

    void setControl(ControlCost control) {
        mControl = control;
    }
}
