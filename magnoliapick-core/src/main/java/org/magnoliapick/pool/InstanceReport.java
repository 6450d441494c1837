package org.magnoliapick.pool;

import java.util.List;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;

/**
 * What one instance tells the others.
 *
 * @param instance its name
 * @param domain its failure domain
 * @param address where it listens, IP number and port
 * @param startedMillis when its life began
 * @param sequence the number of the report in this life
 * @param pools its use of each service
 * @param knownAddresses addresses of instances that it knows; empty in most reports
 */
public record InstanceReport(
        InstanceId instance,
        FailureDomain domain,
        String address,
        long startedMillis,
        long sequence,
        List<PoolUse> pools,
        List<String> knownAddresses) {
    /** Copies the lists. */
    public InstanceReport {
        pools = List.copyOf(pools);
        knownAddresses = List.copyOf(knownAddresses);
    }

    /** Returns whether this report is newer than another of the same instance. */
    public boolean newerThan(InstanceReport other) {
        return startedMillis > other.startedMillis
                || (startedMillis == other.startedMillis && sequence > other.sequence);
    }
}
