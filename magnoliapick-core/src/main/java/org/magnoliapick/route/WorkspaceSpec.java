package org.magnoliapick.route;

import java.util.List;
import org.magnoliapick.lib.WorkspaceId;

/**
 * A workspace as the operator configured it.
 *
 * @param id its name, which upstreams are told
 * @param keys the keys of its callers
 * @param priority its rank, 0 is the highest; it goes before the route's
 */
public record WorkspaceSpec(WorkspaceId id, List<String> keys, int priority) {
    /** Copies the keys. */
    public WorkspaceSpec {
        keys = List.copyOf(keys);
    }
}
