package org.magnoliapick.gateway.internal.relay;

import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.PoolCause;

/**
 * Where the pool placed a request, and why.
 *
 * @param waitedMillis how long the request waited for the decision
 * @param newTokens prompt tokens that the upstream has to prefill
 * @param aheadTokens tokens that the upstream has to prefill before them
 */
record Placement(
        PoolCause cause, long waitedMillis, UpstreamId upstream, long newTokens, long aheadTokens) {

    /** Adds the placement to a log line. */
    EventLog.Line addTo(EventLog.Line line) {
        return line.with("upstream", upstream)
                .with("cause", cause.logName())
                .with("waitedMillis", waitedMillis)
                .with("newTokens", newTokens)
                .with("aheadTokens", aheadTokens);
    }
}
