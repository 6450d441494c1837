package org.magnoliapick.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * This instance's share of the fleet's budget for repeated arrivals at the upstreams of a service.
 * Shares add up to less than the whole, so no instance needs to know of the others' use, and the
 * budget holds while they are cut off from each other.
 */
public final class FleetRetryBudget {
    /** Parts of the window that are counted apart, so that it slides. */
    private static final int PARTS = 10;

    /** How much of the budget is used, so that a window cut differently still holds. */
    private static final double SAFETY = 0.6;

    private final double mRatio;
    private final double mFleetSlack;
    private final long mPartMillis;
    private final Map<String, Window> mWindows = new HashMap<>();
    private int mInstances;

    /**
     * Creates a budget.
     *
     * @param ratio repeats allowed for each request
     * @param slack repeats allowed without any request, over the whole fleet
     * @param windowMillis the span in which they count
     * @param leastInstances among how many instances the slack is divided at least
     */
    public FleetRetryBudget(double ratio, double slack, long windowMillis, int leastInstances) {
        mRatio = ratio;
        mFleetSlack = slack;
        mInstances = Math.max(1, leastInstances);
        mPartMillis = Math.max(1, windowMillis / PARTS);
    }

    /**
     * Notes how large the fleet is. It is never taken for smaller than it was, since instances that
     * are cut off go on with their shares.
     */
    public void updateFleetSize(int instances) {
        mInstances = Math.max(mInstances, instances);
    }

    /** Takes over how large the fleet is from the budget that this one replaces. */
    public void adoptFleetSize(FleetRetryBudget former) {
        updateFleetSize(former.mInstances);
    }

    /** Counts a request that a caller sent for a service. */
    public void countRequest(String service, long nowMillis) {
        window(service, nowMillis).mRequests[part(nowMillis)]++;
    }

    /** Takes one repeat out of the budget; returns whether it is allowed. */
    public boolean tryRetry(String service, long nowMillis) {
        Window window = window(service, nowMillis);
        double allowed = SAFETY * (mFleetSlack / mInstances + mRatio * sum(window.mRequests));
        if (sum(window.mRepeats) + 1 > allowed) {
            return false;
        }
        window.mRepeats[part(nowMillis)]++;
        return true;
    }

    private int part(long nowMillis) {
        return (int) Math.floorMod(nowMillis / mPartMillis, (long) PARTS);
    }

    private Window window(String service, long nowMillis) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window());
        long now = nowMillis / mPartMillis;
        for (long each = Math.max(window.mLastPart + 1, now - PARTS + 1); each <= now; each++) {
            int index = (int) Math.floorMod(each, (long) PARTS);
            window.mRequests[index] = 0;
            window.mRepeats[index] = 0;
        }
        window.mLastPart = Math.max(window.mLastPart, now);
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
        private final int[] mRequests = new int[PARTS];
        private final int[] mRepeats = new int[PARTS];
        private long mLastPart;
    }
}
