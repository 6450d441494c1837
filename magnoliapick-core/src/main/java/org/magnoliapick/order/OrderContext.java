package org.magnoliapick.order;

import java.util.Map;
import java.util.Optional;
import org.magnoliapick.member.FleetView;

/**
 * What a plan depends on besides the pool.
 *
 * @param view the fleet
 * @param configCurrentAtMillis when the configuration was last known to be at the end of the log, in
 *     milliseconds since the epoch
 * @param weightBytesPerSecond the weight store's rate, if known
 * @param sizesBytes the sizes of model versions and adapters, by subject, as far as known
 * @param poolCount the number of pools in the fleet that share the weight store
 */
public record OrderContext(
        FleetView view,
        long configCurrentAtMillis,
        Optional<Long> weightBytesPerSecond,
        Map<String, Long> sizesBytes,
        int poolCount) {
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Copies the sizes. */
    public OrderContext {
        sizesBytes = Map.copyOf(sizesBytes);
    }

    /** Returns how long a load takes of this pool's part of the weight store's rate. */
    Optional<Long> loadMillis(String subject) {
        if (weightBytesPerSecond.isEmpty() || !sizesBytes.containsKey(subject)) {
            return Optional.empty();
        }
        long partBytesPerSecond = Math.max(1, weightBytesPerSecond.get() / Math.max(1, poolCount));
        return Optional.of(sizesBytes.get(subject) * MILLIS_PER_SECOND / partBytesPerSecond);
    }
}
