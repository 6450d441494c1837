package org.magnoliapick.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.lib.WorkspaceId;

/**
 * Summaries of one time window, merged over all instances that reported.
 *
 * @param range the time range of the window
 * @param workspaces the summaries of the workspaces with any activity in the window
 */
public record FleetWindow(TimeRange range, Map<WorkspaceId, WorkspaceSummary> workspaces) {
    /** Creates a window; the map is copied. */
    public FleetWindow {
        workspaces = Map.copyOf(workspaces);
    }

    /** Merges the batches of all instances by window. Returns the windows oldest first. */
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

    /** Returns the summary of a workspace, or {@link WorkspaceSummary#NONE} without activity. */
    public WorkspaceSummary summary(WorkspaceId workspace) {
        return workspaces.getOrDefault(workspace, WorkspaceSummary.NONE);
    }

    /**
     * Returns the effective weight of a workspace: the weight of its team, divided among the team's
     * workspaces that were active in the window in proportion to their own weights.
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

    /** Returns the weight of a workspace within its team. */
    private static double ownWeight(WorkspaceId workspace, FleetConfig config) {
        return config.workspace(workspace)
                .map(WorkspaceConfig::weight)
                .orElse(FleetConfig.DEFAULT_WEIGHT);
    }
}
