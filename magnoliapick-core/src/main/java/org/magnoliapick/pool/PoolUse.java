package org.magnoliapick.pool;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.magnoliapick.lib.WorkspaceId;

/**
 * One instance's use of a service, as reported to other instances.
 *
 * @param service the service
 * @param uses its use of each upstream at which it has requests
 * @param servedTokens tokens that each workspace was served by its decisions, including those about
 *     other instances' requests, decayed over the share window
 * @param waitingTokens prompt tokens of the requests that wait at it
 * @param leastServedTokens tokens that the whole fleet served the least served workspace with
 *     requests waiting at it; absent if none waits
 * @param aggregate whether {@code uses} is the aggregate use of all instances for which the sender
 *     decides, and not only its own; the sender reports it periodically, not at each change
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
