package org.magnoliapick.internal.share;

import java.util.Map;
import java.util.TreeMap;
import org.magnoliapick.lib.WorkspaceId;

/** What each workspace has used of a pool through this instance, and has in flight there. */
final class UsageTable {
    private final Map<WorkspaceId, Usage> mLines = new TreeMap<>();

    /** The figures of one workspace. */
    static final class Usage {
        private double mUsedUnits;
        private double mInFlightUnits;
        private int mInFlight;

        /** Returns all service used so far; it never falls. */
        double usedUnits() {
            return mUsedUnits;
        }

        /** Returns the service that requests in flight are still expected to use. */
        double inFlightUnits() {
            return mInFlightUnits;
        }

        int inFlight() {
            return mInFlight;
        }
    }

    void started(RunningRequest running) {
        Usage line = usage(running.request().workspace());
        line.mInFlight++;
        line.mInFlightUnits += running.estimateUnits();
    }

    /** Charges an increase in use. */
    void used(RunningRequest running, double increase, double remainingBefore) {
        Usage line = usage(running.request().workspace());
        line.mUsedUnits = Units.clampCounter(line.mUsedUnits + increase);
        double less = remainingBefore - running.remainingUnits();
        line.mInFlightUnits = Math.max(0, line.mInFlightUnits - less);
    }

    void ended(RunningRequest running) {
        Usage line = usage(running.request().workspace());
        line.mInFlight--;
        double left = Math.max(0, line.mInFlightUnits - running.remainingUnits());
        line.mInFlightUnits = line.mInFlight == 0 ? 0 : left;
    }

    Usage usage(WorkspaceId workspace) {
        return mLines.computeIfAbsent(workspace, id -> new Usage());
    }

    Map<WorkspaceId, Usage> usages() {
        return mLines;
    }
}
