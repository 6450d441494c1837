package org.magnoliapick.pool;

import org.magnoliapick.lib.UpstreamId;

/** What a dispatcher decided about another instance's question. */
public sealed interface PoolDecision {
    /** Returns the number of the question. */
    long queryId();

    /** The request waits in order. */
    record Queued(long queryId) implements PoolDecision {}

    /**
     * Send the request.
     *
     * @param grant the number of the grant, by which the asker's reports acknowledge it
     */
    record Start(
            long queryId,
            long grant,
            UpstreamId upstream,
            long newTokens,
            long aheadTokens,
            PoolCause cause)
            implements PoolDecision {}

    /** Refuse the request; it has not run. */
    record Refuse(long queryId, PoolCause cause, long retryAfterMillis) implements PoolDecision {}
}
