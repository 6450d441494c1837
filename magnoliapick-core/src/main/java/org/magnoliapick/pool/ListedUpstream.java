package org.magnoliapick.pool;

import java.util.OptionalLong;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.UpstreamIncarnation;

/**
 * An upstream's entry in the list of upstreams, which the upstream writes itself.
 *
 * @param id its identifier, which may stay the same after a restart
 * @param service the service that it belongs to
 * @param address its IP address and port
 * @param domain its failure domain
 * @param slots how many requests it runs concurrently
 * @param leaving whether it takes no new requests because it is about to stop
 * @param startedMillis when this incarnation of it started, in milliseconds since the epoch
 * @param coldLeftMillis how much longer it states to be cold, from when the entry is read, in
 *     milliseconds; absent if it states nothing
 */
public record ListedUpstream(
        UpstreamId id,
        String service,
        String address,
        FailureDomain domain,
        int slots,
        boolean leaving,
        long startedMillis,
        OptionalLong coldLeftMillis) {
    /** Creates an entry that does not state whether the upstream is cold. */
    public ListedUpstream(
            UpstreamId id,
            String service,
            String address,
            FailureDomain domain,
            int slots,
            boolean leaving,
            long startedMillis) {
        this(id, service, address, domain, slots, leaving, startedMillis, OptionalLong.empty());
    }

    /** Returns the entry without a statement that is only valid when it is read. */
    public ListedUpstream withoutColdLeft() {
        return coldLeftMillis.isEmpty()
                ? this
                : new ListedUpstream(id, service, address, domain, slots, leaving, startedMillis);
    }

    /** Returns which incarnation of which upstream it describes. */
    public UpstreamIncarnation incarnation() {
        return new UpstreamIncarnation(id, startedMillis);
    }

    /** Returns whether the other entry describes the same incarnation of the same upstream. */
    public boolean sameIncarnation(ListedUpstream other) {
        return id.equals(other.id) && startedMillis == other.startedMillis;
    }

    ListedUpstream asLeaving() {
        return new ListedUpstream(id, service, address, domain, slots, true, startedMillis);
    }
}
