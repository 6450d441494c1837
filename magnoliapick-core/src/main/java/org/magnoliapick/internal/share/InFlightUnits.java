package org.magnoliapick.internal.share;

import java.util.HashMap;
import java.util.Map;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The estimated service in flight of each workspace, in service units, summed over its sources
 * (queues of instances, open grants and pools of other domains).
 */
final class InFlightUnits {
    /** A smaller total is a rounding error of the additions and counts as 0. */
    private static final double ZERO_THRESHOLD_UNITS = 1e-6;

    private final Map<WorkspaceId, Double> mTotals = new HashMap<>();
    private final FairIndex mIndex;

    InFlightUnits(FairIndex index) {
        mIndex = index;
    }

    /** Replaces the contribution of one source to the total of a workspace. */
    void replace(WorkspaceId workspace, double before, double after) {
        double total = mTotals.getOrDefault(workspace, 0.0) + after - before;
        if (total < ZERO_THRESHOLD_UNITS) {
            mTotals.remove(workspace);
            total = 0;
        } else {
            mTotals.put(workspace, total);
        }
        mIndex.setInFlight(workspace, total);
    }
}
