package org.magnoliapick.bench.driver;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.magnoliapick.lib.RequestClass;

/** What one run gave. */
public final class Measurements {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final Comparator<QueueKey> QUEUE_ORDER =
            Comparator.comparing(QueueKey::requestClass).thenComparing(QueueKey::group);

    /**
     * What queue times are kept apart by.
     *
     * @param requestClass the class of the request
     * @param group the group of workspaces that sent it
     */
    public record QueueKey(RequestClass requestClass, String group)
            implements Comparable<QueueKey> {
        @Override
        public int compareTo(QueueKey other) {
            return QUEUE_ORDER.compare(this, other);
        }
    }

    private final ServiceMeter mService;
    private final Map<QueueKey, Histogram> mQueueMillis = new TreeMap<>();
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
    }

    /** Returns service, backlog and use of capacity over time. */
    public ServiceMeter service() {
        return mService;
    }

    /** Returns the time from arrival to the batch by class and group, in milliseconds. */
    public Map<QueueKey, Histogram> queueMillis() {
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
        QueueKey key = new QueueKey(request.mQueued.requestClass(), request.mFlow.group());
        mQueueMillis
                .computeIfAbsent(key, k -> new Histogram(SIGNIFICANT_DIGITS))
                .recordValue(waitedMillis);
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
