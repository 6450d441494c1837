package org.magnoliapick.order;

import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.PoolId;

/**
 * What the settings want of every engine of a pool.
 *
 * @param pool the pool
 * @param version the model version, such as {@code gift-writer@3}
 * @param adapters the adapters
 * @param role the role, if one is set
 * @param offset the log offset of the last change of these settings; the fencing number of orders
 */
public record DesiredState(
        PoolId pool, String version, Set<String> adapters, Optional<String> role, long offset) {
    /** Copies the adapters. */
    public DesiredState {
        adapters = Set.copyOf(adapters);
    }
}
