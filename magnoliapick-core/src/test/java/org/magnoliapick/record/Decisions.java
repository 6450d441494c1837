package org.magnoliapick.record;

import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/** Factories for decision records in tests. */
final class Decisions {
    static final RequestId REQUEST = new RequestId("r-1");
    static final WorkspaceId CAFE = new WorkspaceId("cafe");
    static final WorkspaceId SOUQ = new WorkspaceId("souq");

    private Decisions() {}

    static DecisionRecord admitted(long atMillis, WorkspaceId workspace) {
        return decision(atMillis, Step.ADMISSION, Cause.ADMITTED, workspace, Map.of());
    }

    static DecisionRecord waited(long atMillis, WorkspaceId workspace, long waitedMillis) {
        Map<String, Double> numbers = Map.of(NumberNames.WAITED_MILLIS, (double) waitedMillis);
        return new DecisionRecord(
                atMillis,
                Step.QUEUE,
                Cause.BEHIND_WORKSPACE,
                Optional.of(REQUEST),
                Optional.of(workspace),
                Optional.empty(),
                Optional.of(workspace.equals(CAFE) ? SOUQ : CAFE),
                numbers);
    }

    static DecisionRecord started(long atMillis, WorkspaceId workspace, String upstream) {
        return new DecisionRecord(
                atMillis,
                Step.UPSTREAM_CHOICE,
                Cause.LEAST_LOADED,
                Optional.of(REQUEST),
                Optional.of(workspace),
                Optional.of(new UpstreamId(upstream)),
                Optional.empty(),
                Map.of("limit", 4.0));
    }

    static DecisionRecord refused(long atMillis, WorkspaceId workspace) {
        return decision(atMillis, Step.REFUSAL, Cause.WORKSPACE_QUEUE_FULL, workspace, Map.of());
    }

    static DecisionRecord ended(
            long atMillis, WorkspaceId workspace, long latencyMillis, double usedUnits) {
        return new RequestEnd(
                        atMillis,
                        REQUEST,
                        workspace,
                        RequestClass.URGENT,
                        Cause.COMPLETED,
                        Optional.empty(),
                        latencyMillis,
                        Optional.of(latencyMillis / 2),
                        Optional.empty(),
                        usedUnits)
                .toRecord();
    }

    private static DecisionRecord decision(
            long atMillis,
            Step step,
            Cause cause,
            WorkspaceId workspace,
            Map<String, Double> numbers) {
        return new DecisionRecord(
                atMillis,
                step,
                cause,
                Optional.of(REQUEST),
                Optional.of(workspace),
                Optional.empty(),
                Optional.empty(),
                numbers);
    }
}
