package org.magnoliapick.internal.share;

import java.util.Map;
import java.util.TreeMap;
import org.magnoliapick.lib.WorkspaceId;

/** The service that each workspace has used through this instance and has in flight. */
final class UsageTable {
    private final Map<WorkspaceId, Usage> mUsages = new TreeMap<>();

    /** Usage of one workspace. */
    static final class Usage {
        private double mUsedUnits;
        private double mInFlightUnits;
        private int mInFlight;

        /** Returns the service used so far, in service units; never decreases. */
        double usedUnits() {
            return mUsedUnits;
        }

        /** Returns the estimated remaining cost of the requests in flight, in service units. */
        double inFlightUnits() {
            return mInFlightUnits;
        }

        int inFlight() {
            return mInFlight;
        }
    }

    void started(RunningRequest running) {
        Usage usage = usage(running.request().workspace());
        usage.mInFlight++;
        usage.mInFlightUnits += running.estimateUnits();
    }

    /**
     * Charges service that a running request has used.
     *
     * @param increase service used since the last call, in service units
     * @param remainingBefore estimated remaining cost of the request before this increase
     */
    void used(RunningRequest running, double increase, double remainingBefore) {
        Usage usage = usage(running.request().workspace());
        usage.mUsedUnits = Units.clampCounter(usage.mUsedUnits + increase);
        double reduction = remainingBefore - running.remainingUnits();
        usage.mInFlightUnits = Math.max(0, usage.mInFlightUnits - reduction);
    }

    void ended(RunningRequest running) {
        Usage usage = usage(running.request().workspace());
        usage.mInFlight--;
        double remaining = Math.max(0, usage.mInFlightUnits - running.remainingUnits());
        usage.mInFlightUnits = usage.mInFlight == 0 ? 0 : remaining;
    }

    Usage usage(WorkspaceId workspace) {
        return mUsages.computeIfAbsent(workspace, id -> new Usage());
    }

    Map<WorkspaceId, Usage> usages() {
        return mUsages;
    }
}
