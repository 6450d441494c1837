package org.magnoliapick.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The typed view of the current configuration.
 *
 * @param offset the log offset of the last applied entry; -1 before the first
 * @param teamWeights the share of each team, relative to the other teams
 * @param workspaces the workspaces by identifier
 * @param targets the models and plain services by name
 * @param objectives the service level objectives by workspace and request class
 * @param orders the desired state of the engines of each model, by model
 * @param operators the persons and programs that may use the administration API
 * @param draining the names of the upstreams that receive no new requests
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
    /** The weight of a team or workspace without a configured weight. */
    public static final double DEFAULT_WEIGHT = 1.0;

    /** The configuration before the first log entry. */
    public static final FleetConfig EMPTY = new FleetConfig(-1, Map.of(), Map.of(), Map.of());

    /** Stores immutable copies of the collections. */
    public FleetConfig {
        teamWeights = Map.copyOf(teamWeights);
        workspaces = Map.copyOf(workspaces);
        targets = Map.copyOf(targets);
        objectives = Map.copyOf(objectives);
        orders = Map.copyOf(orders);
        operators = List.copyOf(operators);
        draining = Set.copyOf(draining);
    }

    /** Creates a configuration without objectives, orders, operators and draining upstreams. */
    public FleetConfig(
            long offset,
            Map<String, Double> teamWeights,
            Map<WorkspaceId, WorkspaceConfig> workspaces,
            Map<String, TargetConfig> targets) {
        this(offset, teamWeights, workspaces, targets, Map.of(), Map.of(), List.of(), Set.of());
    }

    /** Returns the service level objective of a workspace for a request class, if one is set. */
    public Optional<Objective> objective(WorkspaceId id, RequestClass requestClass) {
        return Optional.ofNullable(objectives.getOrDefault(id, Map.of()).get(requestClass));
    }

    /** Returns the settings of a workspace, if it has any. */
    public Optional<WorkspaceConfig> workspace(WorkspaceId id) {
        return Optional.ofNullable(workspaces.get(id));
    }

    /** Returns the weight of a team, or {@link #DEFAULT_WEIGHT} if none is set. */
    public double teamWeight(String team) {
        return teamWeights.getOrDefault(team, DEFAULT_WEIGHT);
    }
}
