package org.magnoliapick.pool;

import java.util.List;
import java.util.Map;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * What one instance tells the others of its use of a service's upstreams.
 *
 * @param instance the instance
 * @param uses its use of each upstream
 * @param servedTokens tokens that it served each workspace, decayed over the share window
 */
public record InstanceUse(
        InstanceId instance, List<UpstreamUse> uses, Map<WorkspaceId, Long> servedTokens) {
    /** Copies the collections. */
    public InstanceUse {
        uses = List.copyOf(uses);
        servedTokens = Map.copyOf(servedTokens);
    }
}
