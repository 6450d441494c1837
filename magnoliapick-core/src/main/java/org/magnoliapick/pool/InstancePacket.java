package org.magnoliapick.pool;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.limit.RateLimitUpdate;
import org.magnoliapick.member.StoreUpdate;
import org.magnoliapick.quarantine.SuspectUpdate;

/**
 * The content of one datagram between instances.
 *
 * @param from the sender
 * @param address the address at which the sender listens
 * @param report the sender's report, if one is due
 * @param acknowledgedGrants for each service the highest number of the receiver's grants that the
 *     report's use includes
 * @param storeUpdate what the sender recently read from the store, if the receiver needs it
 * @param suspects the suspected prompt parts that changed at the sender, if the receiver lacks them
 * @param rateLimits the rate limits that changed at the sender, if the receiver lacks them
 * @param notices what upstreams stated about themselves, as far as the receiver lacks it
 * @param messages messages about single requests
 */
public record InstancePacket(
        InstanceId from,
        String address,
        Optional<InstanceReport> report,
        Map<String, Long> acknowledgedGrants,
        Optional<StoreUpdate> storeUpdate,
        Optional<SuspectUpdate> suspects,
        Optional<RateLimitUpdate> rateLimits,
        UpstreamNotices notices,
        List<PoolMessage> messages) {
    /** Copies the collections. */
    public InstancePacket {
        acknowledgedGrants = Map.copyOf(acknowledgedGrants);
        messages = List.copyOf(messages);
    }
}
