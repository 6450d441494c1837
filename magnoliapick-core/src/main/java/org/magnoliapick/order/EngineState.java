package org.magnoliapick.order;

import java.util.Set;
import org.magnoliapick.lib.UpstreamId;

/**
 * What an engine reported that it holds.
 *
 * @param upstream the engine
 * @param models model versions
 * @param adapters adapters
 * @param role its role; empty if it has none
 * @param fencingNumber the highest fencing number that it has taken; -1 if it keeps none
 * @param requestedAtMillis when the report was asked for, in milliseconds since the epoch
 */
public record EngineState(
        UpstreamId upstream,
        Set<String> models,
        Set<String> adapters,
        String role,
        long fencingNumber,
        long requestedAtMillis) {
    /** Copies the sets. */
    public EngineState {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /** Returns whether the engine holds all that the settings want. */
    boolean holds(DesiredState wanted) {
        return models.contains(wanted.version())
                && adapters.containsAll(wanted.adapters())
                && wanted.role().map(role::equals).orElse(true);
    }
}
