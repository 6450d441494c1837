package org.magnoliapick.order;

import java.util.Map;
import java.util.Optional;
import org.magnoliapick.member.FleetView;

/**
 * The inputs of a plan other than the pool and its reports.
 *
 * @param view the members of the fleet
 * @param configCurrentAtMillis when the configuration was last known to be at the end of the log,
 *     in milliseconds since the epoch
 * @param weightBytesPerSecond the throughput of the weight store, if known
 * @param sizesBytes the known sizes of model versions and adapters, by subject
 * @param poolCount the number of pools in the fleet that share the weight store
 */
public record OrderContext(
        FleetView view,
        long configCurrentAtMillis,
        Optional<Long> weightBytesPerSecond,
        Map<String, Long> sizesBytes,
        int poolCount) {
    private static final long MILLIS_PER_SECOND = 1_000;

    public OrderContext {
        sizesBytes = Map.copyOf(sizesBytes);
    }

    /**
     * Returns how long a load takes, in milliseconds, if the pools share the throughput of the
     * weight store equally; empty if the throughput or the size is unknown.
     */
    Optional<Long> loadMillis(String subject) {
        if (weightBytesPerSecond.isEmpty() || !sizesBytes.containsKey(subject)) {
            return Optional.empty();
        }
        long poolBytesPerSecond = Math.max(1, weightBytesPerSecond.get() / Math.max(1, poolCount));
        return Optional.of(sizesBytes.get(subject) * MILLIS_PER_SECOND / poolBytesPerSecond);
    }
}
