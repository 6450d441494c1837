package org.magnoliapick.pool;

import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.UpstreamId;

/**
 * An upstream as it lists itself.
 *
 * @param id its identifier, which a restart may keep
 * @param service the service that it belongs to
 * @param address its address, IP number and port
 * @param domain its failure domain
 * @param slots how many requests it runs at once
 * @param leaving whether it takes no new work because it is about to stop
 * @param startedMillis when this life of it began, in milliseconds since the epoch
 */
public record ListedUpstream(
        UpstreamId id,
        String service,
        String address,
        FailureDomain domain,
        int slots,
        boolean leaving,
        long startedMillis) {
    /** Returns whether the other entry speaks of the same life of the same upstream. */
    public boolean sameIncarnation(ListedUpstream other) {
        return id.equals(other.id) && startedMillis == other.startedMillis;
    }

    ListedUpstream left() {
        return new ListedUpstream(id, service, address, domain, slots, true, startedMillis);
    }
}
