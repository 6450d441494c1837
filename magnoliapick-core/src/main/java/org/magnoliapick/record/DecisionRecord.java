package org.magnoliapick.record;

import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * One decision and what it was made from.
 *
 * @param atMillis when, in milliseconds since the epoch
 * @param step the kind of decision
 * @param cause why
 * @param request the request it concerns, if one
 * @param workspace the workspace it concerns, if one
 * @param upstream the upstream it concerns, if one
 * @param ahead the workspace that was preferred, if one
 * @param numbers the numbers compared, by name with unit, such as {@code waitedMillis}
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
    /** Copies the numbers. */
    public DecisionRecord {
        numbers = Map.copyOf(numbers);
    }
}
