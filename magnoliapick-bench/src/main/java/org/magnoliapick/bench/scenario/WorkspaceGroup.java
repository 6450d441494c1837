package org.magnoliapick.bench.scenario;

import java.util.List;

/**
 * Workspaces that behave alike.
 *
 * @param name the common start of their names
 * @param count how many there are
 * @param team the team that they belong to; each its own where none is given
 * @param weight their weight
 * @param maxQueued the most requests that may wait in one instance, for each of them
 * @param loads what they ask for
 */
public record WorkspaceGroup(
        String name, int count, String team, Double weight, Integer maxQueued, List<Load> loads) {
    private static final int DEFAULT_MAX_QUEUED = 1_000;

    /** Fills in the defaults. */
    public WorkspaceGroup {
        weight = weight == null ? 1.0 : weight;
        maxQueued = maxQueued == null ? DEFAULT_MAX_QUEUED : maxQueued;
        loads = loads == null ? List.of() : List.copyOf(loads);
    }
}
