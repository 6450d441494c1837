package org.magnoliapick.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * This instance's share of the fleet's retry budget for the upstreams of a service. The budget
 * limits how often requests arrive at upstreams again, so a retry after an attempt that sent
 * nothing is not taken from it. The shares add up to less than the total, so no instance needs to
 * know how much the others use, and the budget holds while instances are cut off from each other.
 */
public final class FleetRetryBudget {
    /** The number of buckets that make up the sliding window. */
    private static final int BUCKETS = 10;

    /**
     * The share of the budget that is used. The margin keeps the budget within any window of the
     * same length, also one that does not start at a bucket.
     */
    private static final double SAFETY_FACTOR = 0.6;

    private final double mRatio;
    private final double mFleetSlack;
    private final long mBucketMillis;
    private final Map<String, Window> mWindows = new HashMap<>();
    private int mInstances;

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed for each request
     * @param slack retries allowed without any request, in the entire fleet
     * @param windowMillis the length of the sliding window in milliseconds
     * @param minInstances the minimum number of instances that the slack is divided by
     */
    public FleetRetryBudget(double ratio, double slack, long windowMillis, int minInstances) {
        mRatio = ratio;
        mFleetSlack = slack;
        mInstances = Math.max(1, minInstances);
        mBucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /**
     * Updates the size of the fleet. It never shrinks, since instances that are cut off continue to
     * use their shares.
     */
    public void updateFleetSize(int instances) {
        mInstances = Math.max(mInstances, instances);
    }

    /**
     * Adopts the size of the fleet from the budget that this one replaces, and what it counted if
     * the length of the window is the same.
     */
    public void adopt(FleetRetryBudget former) {
        updateFleetSize(former.mInstances);
        if (mBucketMillis == former.mBucketMillis) {
            mWindows.putAll(former.mWindows);
        }
    }

    /** Counts a request from a caller for a service. */
    public void countRequest(String service, long nowMillis) {
        window(service, nowMillis).mRequests[bucketIndex(nowMillis)]++;
    }

    /** Returns whether the budget allows a retry now, without taking it. */
    public boolean allowsRetry(String service, long nowMillis) {
        Window window = window(service, nowMillis);
        double allowed =
                SAFETY_FACTOR * (mFleetSlack / mInstances + mRatio * sum(window.mRequests));
        return sum(window.mRetries) + 1 <= allowed;
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    public boolean tryRetry(String service, long nowMillis) {
        if (!allowsRetry(service, nowMillis)) {
            return false;
        }
        window(service, nowMillis).mRetries[bucketIndex(nowMillis)]++;
        return true;
    }

    private int bucketIndex(long nowMillis) {
        return (int) Math.floorMod(nowMillis / mBucketMillis, (long) BUCKETS);
    }

    /** Returns the window of a service, with the buckets cleared that began since its last use. */
    private Window window(String service, long nowMillis) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window());
        long current = nowMillis / mBucketMillis;
        long first = Math.max(window.mLastBucket + 1, current - BUCKETS + 1);
        for (long each = first; each <= current; each++) {
            int index = (int) Math.floorMod(each, (long) BUCKETS);
            window.mRequests[index] = 0;
            window.mRetries[index] = 0;
        }
        window.mLastBucket = Math.max(window.mLastBucket, current);
        return window;
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }

    private static final class Window {
        private final int[] mRequests = new int[BUCKETS];
        private final int[] mRetries = new int[BUCKETS];

        /** The bucket of the last use, numbered from the epoch. */
        private long mLastBucket;
    }
}
