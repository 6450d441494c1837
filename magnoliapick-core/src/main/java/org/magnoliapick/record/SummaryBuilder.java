package org.magnoliapick.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.Objective;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

/** Aggregates decisions per workspace and time window. Not thread-safe. */
public final class SummaryBuilder {
    /** The length of a window, in milliseconds. */
    public static final long WINDOW_MILLIS = 5_000;

    private final InstanceId mInstance;
    private Map<WorkspaceId, WorkspaceSummary> mWorkspaces = new HashMap<>();
    private long mWindowStartMillis;

    /** Creates a builder whose first window contains the given time. */
    public SummaryBuilder(InstanceId instance, long nowMillis) {
        mInstance = instance;
        mWindowStartMillis = windowStart(nowMillis);
    }

    /** Adds a decision to the current window. */
    public void add(DecisionRecord decision, FleetConfig config) {
        if (decision.workspace().isEmpty()) {
            return;
        }
        WorkspaceSummary summary = summaryOf(decision, config);
        if (summary != WorkspaceSummary.NONE) {
            mWorkspaces.merge(decision.workspace().get(), summary, WorkspaceSummary::plus);
        }
    }

    /**
     * Starts a new window if the current one is over. Returns the batch of the old window, or empty
     * if it is not over or had no activity.
     */
    public Optional<SummaryBatch> roll(long nowMillis, long configOffset) {
        if (nowMillis < mWindowStartMillis + WINDOW_MILLIS) {
            return Optional.empty();
        }
        SummaryBatch batch = currentBatch(configOffset);
        mWorkspaces = new HashMap<>();
        mWindowStartMillis = windowStart(nowMillis);
        return batch.workspaces().isEmpty() ? Optional.empty() : Optional.of(batch);
    }

    /**
     * Returns the batch of the current window with the decisions added so far.
     *
     * @param configOffset the offset of the configuration in force
     */
    public SummaryBatch currentBatch(long configOffset) {
        TimeRange window = new TimeRange(mWindowStartMillis, mWindowStartMillis + WINDOW_MILLIS);
        return new SummaryBatch(mInstance, window, configOffset, mWorkspaces);
    }

    private static WorkspaceSummary summaryOf(DecisionRecord decision, FleetConfig config) {
        if (decision.step() == Step.ADMISSION && decision.cause() == Cause.ADMITTED) {
            return new WorkspaceSummary(1, 0, 0, Map.of(), Map.of(), Map.of(), List.of(), Map.of());
        }
        if (decision.step() == Step.QUEUE) {
            return waited(decision);
        }
        if (decision.step() == Step.REFUSAL) {
            Map<Cause, Long> refused = Map.of(decision.cause(), 1L);
            return new WorkspaceSummary(0, 0, 0, Map.of(), Map.of(), refused, List.of(), Map.of());
        }
        return RequestEnd.of(decision).map(end -> ended(end, config)).orElse(WorkspaceSummary.NONE);
    }

    private static WorkspaceSummary waited(DecisionRecord decision) {
        long waitedMillis =
                decision.numbers().getOrDefault(NumberNames.WAITED_MILLIS, 0.0).longValue();
        if (waitedMillis <= 0) {
            return WorkspaceSummary.NONE;
        }
        Map<WorkspaceId, Long> ahead = new HashMap<>();
        decision.ahead().ifPresent(id -> ahead.put(id, waitedMillis));
        TimeRange range = new TimeRange(decision.atMillis() - waitedMillis, decision.atMillis());
        return new WorkspaceSummary(
                0,
                0,
                0,
                Map.of(decision.cause(), waitedMillis),
                ahead,
                Map.of(),
                List.of(range),
                Map.of());
    }

    private static WorkspaceSummary ended(RequestEnd end, FleetConfig config) {
        Optional<Objective> objective = config.objective(end.workspace(), end.requestClass());
        return new WorkspaceSummary(
                0,
                1,
                end.usedUnits(),
                Map.of(),
                Map.of(),
                Map.of(),
                List.of(),
                objective
                        .map(it -> Map.of(end.requestClass(), LevelCounts.of(end, it)))
                        .orElse(Map.of()));
    }

    private static long windowStart(long nowMillis) {
        return Math.floorDiv(nowMillis, WINDOW_MILLIS) * WINDOW_MILLIS;
    }
}
