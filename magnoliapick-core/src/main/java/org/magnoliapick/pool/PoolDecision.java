package org.magnoliapick.pool;

import org.magnoliapick.lib.UpstreamId;

/** A dispatcher's decision about another instance's query. */
public sealed interface PoolDecision {
    /** Returns the identifier of the query. */
    long queryId();

    /** The request is queued at the dispatcher. */
    record Queued(long queryId) implements PoolDecision {}

    /**
     * Send the request to an upstream.
     *
     * @param grant the number of the grant, which later reports of the requester acknowledge
     * @param newTokens how many tokens of the prompt the upstream is expected to prefill
     * @param aheadTokens the estimated prefill backlog of the upstream before this request, in
     *     tokens
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
