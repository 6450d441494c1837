package org.magnoliapick.internal.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.WorkspaceId;

/** Weighted fair queueing over the requests of this instance, for each target separately. */
final class LocalScheduler {
    private final QueueTable mQueues;
    private final Map<String, FairIndex> mIndexes = new HashMap<>();
    private final Map<String, UsageTable> mUsageTables = new HashMap<>();
    private FleetConfig mConfig = FleetConfig.EMPTY;

    /** A queued request and the upstream that has a slot for it. */
    record Choice(WaitingRequest waiting, Upstream upstream) {}

    LocalScheduler(QueueTable queues) {
        mQueues = queues;
    }

    void setConfig(FleetConfig config) {
        mConfig = config;
        mIndexes.values().forEach(index -> index.setConfig(config));
    }

    /** Updates whether a workspace is backlogged after a change of its queue. */
    void queueChanged(String target, WorkspaceId workspace) {
        if (mQueues.size(target, workspace) > 0) {
            index(target).markBacklogged(workspace, false);
        } else {
            index(target).clearBacklogged(workspace);
        }
    }

    /** Adds a started request to the service in flight of its workspace. */
    void started(RunningRequest running) {
        usageTable(running).started(running);
        index(running.request().target()).recordCost(running.estimateUnits());
        inFlightChanged(running);
    }

    /** Charges an increase of the service used by a request, in service units. */
    void used(RunningRequest running, double increase, double remainingBefore) {
        usageTable(running).used(running, increase, remainingBefore);
        index(running.request().target()).charge(running.request().workspace(), increase);
        inFlightChanged(running);
    }

    /** Removes an ended request from the service in flight of its workspace. */
    void ended(RunningRequest running) {
        usageTable(running).ended(running);
        inFlightChanged(running);
    }

    /**
     * Returns the next request to start, from the workspace with the least normalised service that
     * has one. Once a request without excluded upstreams finds no slot, no other request of the
     * target can find one and the search ends.
     */
    Optional<Choice> next(String target, SlotSource slots) {
        for (WorkspaceId workspace : index(target).leastServedFirst()) {
            for (WaitingRequest waiting : mQueues.inOrder(target, workspace)) {
                Optional<Upstream> upstream = slots.find(waiting.request());
                if (upstream.isPresent()) {
                    return Optional.of(new Choice(waiting, upstream.get()));
                }
                if (waiting.request().excluded().isEmpty()) {
                    return Optional.empty();
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the service of a workspace divided by its weight, work in flight included. */
    double normalisedService(String target, WorkspaceId workspace) {
        return index(target).normalisedService(workspace);
    }

    private void inFlightChanged(RunningRequest running) {
        WorkspaceId workspace = running.request().workspace();
        double units = usageTable(running).usage(workspace).inFlightUnits();
        index(running.request().target()).setInFlight(workspace, units);
    }

    private UsageTable usageTable(RunningRequest running) {
        return mUsageTables.computeIfAbsent(running.request().target(), target -> new UsageTable());
    }

    private FairIndex index(String target) {
        return mIndexes.computeIfAbsent(target, this::newIndex);
    }

    private FairIndex newIndex(String target) {
        FairIndex index = new FairIndex();
        index.setConfig(mConfig);
        return index;
    }
}
