package org.magnoliapick.pool;

import org.magnoliapick.errors.ErrorKind;

/** What a pool decides about a request. */
public sealed interface PoolAction {
    /** Returns the request that it is about. */
    PoolJob job();

    /** Send it to an upstream. */
    record Start(PoolJob job, Ticket ticket, PoolCause cause) implements PoolAction {}

    /** Refuse it; it has not run. */
    record Refuse(PoolJob job, ErrorKind kind, long retryAfterMillis, PoolCause cause)
            implements PoolAction {}
}
