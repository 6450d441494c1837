package org.magnoliapick.pool;

/** What a pool decides about a request. */
public sealed interface PoolAction {
    /** Returns the request that it is about. */
    PoolJob job();

    /**
     * Send it to an upstream.
     *
     * @param grant the number of the grant, where another instance asked
     */
    record Start(PoolJob job, Ticket ticket, long grant, PoolCause cause) implements PoolAction {}

    /** Refuse it; it has not run. */
    record Refuse(PoolJob job, long retryAfterMillis, PoolCause cause) implements PoolAction {}
}
