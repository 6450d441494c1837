package org.magnoliapick.record;

import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * A decision with its cause and the values that it was based on.
 *
 * @param atMillis the time of the decision, in milliseconds since the epoch
 * @param step the kind of decision
 * @param cause the reason for the decision
 * @param request the request that it concerns, if any
 * @param workspace the workspace that it concerns, if any
 * @param upstream the upstream that it concerns, if any
 * @param ahead the workspace that was served first, if any
 * @param numbers the values compared, keyed by a name that includes the unit, such as {@code
 *     waitedMillis}; see {@link NumberNames}
 */
public record DecisionRecord(
        long atMillis,
        Step step,
        Cause cause,
        Optional<RequestId> request,
        Optional<WorkspaceId> workspace,
        Optional<UpstreamId> upstream,
        Optional<WorkspaceId> ahead,
        Map<String, Double> numbers) {
    /** Creates a record; the map is copied. */
    public DecisionRecord {
        numbers = Map.copyOf(numbers);
    }
}
