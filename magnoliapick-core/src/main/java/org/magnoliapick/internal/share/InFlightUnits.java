package org.magnoliapick.internal.share;

import java.util.HashMap;
import java.util.Map;
import org.magnoliapick.lib.WorkspaceId;

/** The estimated service in flight of each workspace, summed over its sources. */
final class InFlightUnits {
    private static final double NOTHING_UNITS = 1e-6;

    private final Map<WorkspaceId, Double> mSums = new HashMap<>();
    private final FairIndex mIndex;

    InFlightUnits(FairIndex index) {
        mIndex = index;
    }

    /** Replaces the part of one source. */
    void replace(WorkspaceId workspace, double before, double after) {
        double sum = mSums.getOrDefault(workspace, 0.0) + after - before;
        if (sum < NOTHING_UNITS) {
            mSums.remove(workspace);
            sum = 0;
        } else {
            mSums.put(workspace, sum);
        }
        mIndex.setInFlight(workspace, sum);
    }
}
