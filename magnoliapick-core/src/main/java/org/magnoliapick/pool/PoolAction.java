package org.magnoliapick.pool;

/** A decision of a pool about a request. */
public sealed interface PoolAction {
    /** Returns the request that the decision is about. */
    PoolJob job();

    /**
     * Send the request to an upstream.
     *
     * @param grant the number of the grant; only meaningful if another instance requested it
     */
    record Start(PoolJob job, Ticket ticket, long grant, PoolCause cause) implements PoolAction {}

    /** Refuse the request; it has not run. */
    record Refuse(PoolJob job, long retryAfterMillis, PoolCause cause) implements PoolAction {}
}
