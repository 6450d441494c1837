package org.magnoliapick.order;

import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.PoolId;

/**
 * The desired state of every engine of a pool, as configured.
 *
 * @param pool the pool
 * @param version the model version, such as {@code gift-writer@3}
 * @param adapters the adapters
 * @param role the role, if one is set
 * @param offset the log offset of the last change of these settings; used as the fencing number of
 *     orders
 */
public record DesiredState(
        PoolId pool, String version, Set<String> adapters, Optional<String> role, long offset) {
    public DesiredState {
        adapters = Set.copyOf(adapters);
    }
}
