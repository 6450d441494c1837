package org.magnoliapick.route;

import java.util.List;
import org.magnoliapick.lib.WorkspaceId;

/**
 * Configuration of a workspace.
 *
 * @param id the name of the workspace, which is also sent to upstreams
 * @param keys the API keys of its callers
 * @param priority the priority of its requests; 0 is the highest, and it is compared before the
 *     priority of the route
 */
public record WorkspaceSpec(WorkspaceId id, List<String> keys, int priority) {
    /** Creates a workspace; the list of keys is copied. */
    public WorkspaceSpec {
        keys = List.copyOf(keys);
    }
}
