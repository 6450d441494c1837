package org.magnoliapick.bench.scenario;

import java.util.List;
import org.magnoliapick.lib.RequestClass;

/**
 * What the callers of a workspace ask of one target.
 *
 * @param target the model or plain service
 * @param requestClass the class of the requests
 * @param outstanding callers that each have one request at all times; 0 where requests arrive by a
 *     Poisson process
 * @param perSecond the rate of a Poisson process, in requests a second; 0 where callers are fixed
 * @param cost the distribution of the cost
 * @param hint what the callers know of the cost
 * @param spread how many entry instances get these requests; 0 for all of them
 * @param entryDomains the failure domains whose entry instances get them; empty for all
 * @param deadlineSeconds how long a caller waits, in seconds
 */
public record Load(
        String target,
        RequestClass requestClass,
        int outstanding,
        double perSecond,
        Cost cost,
        Hint hint,
        int spread,
        List<String> entryDomains,
        Double deadlineSeconds) {
    /** How long a caller waits where the scenario says nothing, in seconds. */
    private static final double DEFAULT_DEADLINE_SECONDS = 3_600;

    /** Fills in the defaults. */
    public Load {
        requestClass = requestClass == null ? RequestClass.STANDARD : requestClass;
        hint = hint == null ? Hint.NONE : hint;
        entryDomains = entryDomains == null ? List.of() : List.copyOf(entryDomains);
        deadlineSeconds = deadlineSeconds == null ? DEFAULT_DEADLINE_SECONDS : deadlineSeconds;
    }
}
