package org.magnoliapick.order;

import java.util.Set;
import org.magnoliapick.lib.UpstreamId;

/**
 * The state that an engine reported.
 *
 * @param upstream the engine
 * @param models the loaded model versions
 * @param adapters the loaded adapters
 * @param role its role; empty if it has none
 * @param fencingNumber the highest fencing number that the engine accepted; -1 if it keeps none
 * @param requestedAtMillis when the report was requested, in milliseconds since the epoch
 */
public record EngineState(
        UpstreamId upstream,
        Set<String> models,
        Set<String> adapters,
        String role,
        long fencingNumber,
        long requestedAtMillis) {
    public EngineState {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /** Returns whether the engine has the desired model version, adapters and role. */
    boolean holds(DesiredState desired) {
        return models.contains(desired.version())
                && adapters.containsAll(desired.adapters())
                && desired.role().map(role::equals).orElse(true);
    }
}
