package org.magnoliapick.bench.policy;

import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;

/** What only an omniscient policy may ask. */
public interface Oracle {
    /** Returns the true cost of a request in service units. */
    double cost(RequestId request);

    /** Returns whether the entry instance that holds the request can reach the upstream now. */
    boolean reaches(RequestId request, UpstreamId upstream);

    /** Returns how many requests the upstream can serve at once within its targets. */
    int slots(UpstreamId upstream);
}
