package org.magnoliapick.pool;

import org.magnoliapick.lib.InstanceId;

/** What instances say to each other about single requests of a service. */
public sealed interface PoolMessage {
    /** Returns to whom it goes. */
    InstanceId to();

    /** Asks the dispatcher for an upstream. */
    record Query(InstanceId to, PoolJob job) implements PoolMessage {}

    /** Tells an asker what was decided. */
    record Reply(InstanceId to, String service, PoolDecision decision) implements PoolMessage {}

    /** Takes a question back. */
    record Withdrawal(InstanceId to, String service, long queryId) implements PoolMessage {}
}
