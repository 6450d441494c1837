package org.magnoliapick.pool;

import org.magnoliapick.lib.InstanceId;

/** A message between instances about a single request of a service. */
public sealed interface PoolMessage {
    /** Returns the receiver. */
    InstanceId to();

    /** Requests an upstream from the dispatcher. */
    record Query(InstanceId to, PoolJob job) implements PoolMessage {}

    /** Sends a decision to the requester. */
    record Reply(InstanceId to, String service, PoolDecision decision) implements PoolMessage {}

    /** Withdraws a query. */
    record Withdrawal(InstanceId to, String service, long queryId) implements PoolMessage {}
}
