package org.magnoliapick.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The typed view of the configuration in force.
 *
 * @param offset the log offset up to which the log was folded; -1 before any entry
 * @param teamWeights each team's share, relative to the other teams
 * @param workspaces the workspaces by name
 * @param targets the models and plain services by name
 * @param objectives the service levels by workspace and class
 * @param orders what engines have to load, by model
 * @param operators who may use the administration API
 * @param draining the names of the upstreams that get no new work
 */
public record FleetConfig(
        long offset,
        Map<String, Double> teamWeights,
        Map<WorkspaceId, WorkspaceConfig> workspaces,
        Map<String, TargetConfig> targets,
        Map<WorkspaceId, Map<RequestClass, Objective>> objectives,
        Map<String, OrderConfig> orders,
        List<OperatorConfig> operators,
        Set<String> draining) {
    /** The weight of a team or workspace that sets none. */
    public static final double DEFAULT_WEIGHT = 1.0;

    /** The configuration before any entry. */
    public static final FleetConfig EMPTY = new FleetConfig(-1, Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public FleetConfig {
        teamWeights = Map.copyOf(teamWeights);
        workspaces = Map.copyOf(workspaces);
        targets = Map.copyOf(targets);
        objectives = Map.copyOf(objectives);
        orders = Map.copyOf(orders);
        operators = List.copyOf(operators);
        draining = Set.copyOf(draining);
    }

    /** Creates a configuration without objectives, orders, operators and drains. */
    public FleetConfig(
            long offset,
            Map<String, Double> teamWeights,
            Map<WorkspaceId, WorkspaceConfig> workspaces,
            Map<String, TargetConfig> targets) {
        this(offset, teamWeights, workspaces, targets, Map.of(), Map.of(), List.of(), Set.of());
    }

    /** Finds the service level of a class of a workspace's requests. */
    public Optional<Objective> objective(WorkspaceId id, RequestClass requestClass) {
        return Optional.ofNullable(objectives.getOrDefault(id, Map.of()).get(requestClass));
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
