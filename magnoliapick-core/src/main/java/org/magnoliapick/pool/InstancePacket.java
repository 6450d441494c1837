package org.magnoliapick.pool;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.member.StoreUpdate;

/**
 * What one instance sends another in one datagram.
 *
 * @param from the sender
 * @param address where the sender listens
 * @param report the sender's use, if it is told now
 * @param acknowledgedGrants by service the highest grant of the receiver's that the report holds
 * @param storeUpdate what the sender read in the store lately, if the receiver needs it
 * @param messages what is said about single requests
 */
public record InstancePacket(
        InstanceId from,
        String address,
        Optional<InstanceReport> report,
        Map<String, Long> acknowledgedGrants,
        Optional<StoreUpdate> storeUpdate,
        List<PoolMessage> messages) {
    /** Copies the collections. */
    public InstancePacket {
        acknowledgedGrants = Map.copyOf(acknowledgedGrants);
        messages = List.copyOf(messages);
    }
}
