package org.magnoliapick.internal.share;

import java.util.HashMap;
import java.util.Map;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The effective weight of each workspace: the weight of its team, divided among the active
 * workspaces of the team in proportion to their own weights.
 */
final class Weights {
    private static final double MIN_WEIGHT = 1e-6;
    private static final double MAX_WEIGHT = 1e6;

    private FleetConfig mConfig = FleetConfig.EMPTY;
    private final Map<String, Map<WorkspaceId, Double>> mActiveByTeam = new HashMap<>();
    private final Map<String, Double> mActiveSums = new HashMap<>();

    /** Applies a new configuration; active workspaces stay active. */
    void setConfig(FleetConfig config) {
        mConfig = config;
        Map<String, Map<WorkspaceId, Double>> before = new HashMap<>(mActiveByTeam);
        mActiveByTeam.clear();
        mActiveSums.clear();
        before.values().forEach(team -> team.keySet().forEach(this::activate));
    }

    /** Adds a workspace to the active ones of its team. */
    void activate(WorkspaceId workspace) {
        String team = team(workspace);
        Map<WorkspaceId, Double> active =
                mActiveByTeam.computeIfAbsent(team, name -> new HashMap<>());
        double weight = ownWeight(workspace);
        if (active.put(workspace, weight) == null) {
            mActiveSums.merge(team, weight, Double::sum);
        }
    }

    /** Removes a workspace from the active ones of its team. */
    void deactivate(WorkspaceId workspace) {
        String team = team(workspace);
        Map<WorkspaceId, Double> active = mActiveByTeam.getOrDefault(team, new HashMap<>());
        Double weight = active.remove(workspace);
        if (weight == null) {
            return;
        }
        if (active.isEmpty()) {
            mActiveByTeam.remove(team);
            mActiveSums.remove(team);
        } else {
            mActiveSums.merge(team, -weight, Double::sum);
        }
    }

    /** Returns the effective weight of a workspace; an inactive one is counted as active. */
    double weight(WorkspaceId workspace) {
        String team = team(workspace);
        double own = ownWeight(workspace);
        double sum = mActiveSums.getOrDefault(team, 0.0);
        if (!mActiveByTeam.getOrDefault(team, Map.of()).containsKey(workspace)) {
            sum += own;
        }
        return clamp(clamp(mConfig.teamWeight(team)) * own / Math.max(sum, own));
    }

    private double ownWeight(WorkspaceId workspace) {
        return clamp(
                mConfig.workspace(workspace)
                        .map(WorkspaceConfig::weight)
                        .orElse(FleetConfig.DEFAULT_WEIGHT));
    }

    private String team(WorkspaceId workspace) {
        return mConfig.workspace(workspace)
                .map(WorkspaceConfig::team)
                .orElse("unknown " + workspace);
    }

    private static double clamp(double weight) {
        if (Double.isNaN(weight)) {
            return FleetConfig.DEFAULT_WEIGHT;
        }
        return Math.max(MIN_WEIGHT, Math.min(MAX_WEIGHT, weight));
    }
}
