package org.magnoliapick.bench.policy;

import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.lib.WorkspaceId;

/** The weight of a workspace: its part of its team's share. */
final class Weights {
    private Weights() {}

    static double of(FleetConfig config, WorkspaceId id) {
        WorkspaceConfig own = config.workspaces().get(id);
        if (own == null) {
            return FleetConfig.DEFAULT_WEIGHT;
        }
        double team =
                config.workspaces().values().stream()
                        .filter(other -> other.team().equals(own.team()))
                        .mapToDouble(WorkspaceConfig::weight)
                        .sum();
        return config.teamWeight(own.team()) * own.weight() / team;
    }
}
