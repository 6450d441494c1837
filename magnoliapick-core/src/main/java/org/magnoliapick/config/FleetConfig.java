package org.magnoliapick.config;

import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The typed view of the configuration in force.
 *
 * @param offset the log offset up to which the log was folded; -1 before any entry
 * @param teamWeights each team's share, relative to the other teams
 * @param workspaces the workspaces by name
 * @param targets the models and plain services by name
 */
public record FleetConfig(
        long offset,
        Map<String, Double> teamWeights,
        Map<WorkspaceId, WorkspaceConfig> workspaces,
        Map<String, TargetConfig> targets) {
    /** The weight of a team or workspace that sets none. */
    public static final double DEFAULT_WEIGHT = 1.0;

    /** The configuration before any entry. */
    public static final FleetConfig EMPTY = new FleetConfig(-1, Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public FleetConfig {
        teamWeights = Map.copyOf(teamWeights);
        workspaces = Map.copyOf(workspaces);
        targets = Map.copyOf(targets);
    }

    /** Finds a workspace. */
    public Optional<WorkspaceConfig> workspace(WorkspaceId id) {
        return Optional.ofNullable(workspaces.get(id));
    }

    /** Returns the share of a team relative to the other teams. */
    public double teamWeight(String team) {
        return teamWeights.getOrDefault(team, DEFAULT_WEIGHT);
    }
}
