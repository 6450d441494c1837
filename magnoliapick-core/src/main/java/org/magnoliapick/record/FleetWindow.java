package org.magnoliapick.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.lib.WorkspaceId;

/**
 * What happened in one window of time over all instances known.
 *
 * @param range the window
 * @param workspaces the summaries of the workspaces to which something happened
 */
public record FleetWindow(TimeRange range, Map<WorkspaceId, WorkspaceSummary> workspaces) {
    /** Copies the summaries. */
    public FleetWindow {
        workspaces = Map.copyOf(workspaces);
    }

    /** Merges batches by window, oldest first. */
    public static List<FleetWindow> of(List<SummaryBatch> batches) {
        TreeMap<Long, Map<WorkspaceId, WorkspaceSummary>> merged = new TreeMap<>();
        TreeMap<Long, TimeRange> ranges = new TreeMap<>();
        for (SummaryBatch batch : batches) {
            long fromMillis = batch.window().fromMillis();
            ranges.put(fromMillis, batch.window());
            Map<WorkspaceId, WorkspaceSummary> into =
                    merged.computeIfAbsent(fromMillis, start -> new HashMap<>());
            batch.workspaces().forEach((id, each) -> into.merge(id, each, WorkspaceSummary::plus));
        }
        return merged.entrySet().stream()
                .map(each -> new FleetWindow(ranges.get(each.getKey()), each.getValue()))
                .toList();
    }

    /** Returns a workspace's summary. */
    public WorkspaceSummary summary(WorkspaceId workspace) {
        return workspaces.getOrDefault(workspace, WorkspaceSummary.NONE);
    }

    /**
     * Returns a workspace's share relative to the others: its team's weight, divided among the
     * team's workspaces that were active in the window by their own weights.
     */
    public double weight(WorkspaceId workspace, FleetConfig config) {
        String team = config.workspace(workspace).map(WorkspaceConfig::team).orElse("");
        double own = ownWeight(workspace, config);
        double others =
                workspaces.keySet().stream()
                        .filter(id -> !id.equals(workspace))
                        .filter(
                                id ->
                                        config.workspace(id)
                                                .filter(it -> it.team().equals(team))
                                                .isPresent())
                        .mapToDouble(id -> ownWeight(id, config))
                        .sum();
        return config.teamWeight(team) * own / (own + others);
    }

    private static double ownWeight(WorkspaceId workspace, FleetConfig config) {
        return config.workspace(workspace)
                .map(WorkspaceConfig::weight)
                .orElse(FleetConfig.DEFAULT_WEIGHT);
    }
}
