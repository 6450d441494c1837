package org.magnoliapick.config;

import java.util.List;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The settings of one workspace.
 *
 * @param id the workspace's name
 * @param team the team that the workspace belongs to
 * @param weight the workspace's portion of the team's share, relative to the team's other
 *     workspaces
 * @param keyHashes the lower-case hexadecimal SHA-256 hashes of the keys that identify the
 *     workspace
 * @param maxQueued the maximum number of requests queued for one target in one instance
 */
public record WorkspaceConfig(
        WorkspaceId id, String team, double weight, List<String> keyHashes, int maxQueued) {
    /** The queue limit of a workspace without a configured limit. */
    public static final int DEFAULT_MAX_QUEUED = 200;

    public WorkspaceConfig {
        keyHashes = List.copyOf(keyHashes);
    }
}
