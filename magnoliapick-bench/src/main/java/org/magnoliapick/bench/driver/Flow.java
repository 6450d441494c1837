package org.magnoliapick.bench.driver;

import org.magnoliapick.lib.WorkspaceId;

/**
 * What one workspace asks of one target.
 *
 * @param index its position among all flows
 * @param workspace the workspace
 * @param group the group of workspaces that it belongs to
 * @param target the target
 * @param targetIndex the position of the target among all targets
 * @param share the part of the target's service that falls to the workspace if all are backlogged,
 *     times the number of workspaces; 1 where all weights are equal
 */
public record Flow(
        int index,
        WorkspaceId workspace,
        String group,
        String target,
        int targetIndex,
        double share) {}
