package org.magnoliapick.pool;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.magnoliapick.lib.WorkspaceId;

/**
 * What one instance tells the others of its use of a service.
 *
 * @param service the service
 * @param uses its use of each upstream at which it has anything
 * @param servedTokens tokens that it served each workspace, decayed over the share window
 * @param waitingTokens tokens of the requests that wait at it
 * @param leastServedTokens what the least served workspace that waits at it was served over the
 *     fleet; absent if none waits
 * @param aggregate whether this is the use of all for whom the sender decides, and not its own alone
 */
public record PoolUse(
        String service,
        List<UpstreamUse> uses,
        Map<WorkspaceId, Long> servedTokens,
        long waitingTokens,
        OptionalLong leastServedTokens,
        boolean aggregate) {
    /** Copies the collections. */
    public PoolUse {
        uses = List.copyOf(uses);
        servedTokens = Map.copyOf(servedTokens);
    }
}
