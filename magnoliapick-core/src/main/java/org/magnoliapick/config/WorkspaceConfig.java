package org.magnoliapick.config;

import java.util.List;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The settings of one workspace.
 *
 * @param id its name
 * @param team the team that it belongs to
 * @param weight its share of the team's share, relative to the team's other workspaces
 * @param keyHashes lower-case hexadecimal SHA-256 hashes of the keys that name it
 * @param maxQueued the most requests that may wait for one target in one instance
 */
public record WorkspaceConfig(
        WorkspaceId id, String team, double weight, List<String> keyHashes, int maxQueued) {
    /** The queue limit of a workspace that sets none. */
    public static final int DEFAULT_MAX_QUEUED = 200;

    /** Copies the hashes. */
    public WorkspaceConfig {
        keyHashes = List.copyOf(keyHashes);
    }
}
