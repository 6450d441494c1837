package org.magnoliapick.gateway.internal.relay;

import java.util.HashSet;
import java.util.Set;
import org.magnoliapick.gateway.internal.http.HttpConnection;
import org.magnoliapick.pool.ListedUpstream;

/**
 * The connections of one request's attempts. All attempts carry the same identifier, so no two of
 * them use the same connection: a response to the first that arrives again would be taken for that
 * to the second.
 */
final class RelayConnections {
    private final Pools mPools;
    private final RelayGuard mGuard;
    private final Set<HttpConnection> mUsed = new HashSet<>();

    RelayConnections(Pools pools, RelayGuard guard) {
        mPools = pools;
        mGuard = guard;
    }

    /** Acquires a connection for an attempt that no attempt was sent on before. */
    void acquire(ListedUpstream upstream, long nowMillis, UpstreamCall call) {
        mPools.connections(upstream)
                .acquire(
                        nowMillis,
                        mUsed,
                        connection -> mGuard.run(() -> call.onConnected(connection)),
                        () -> mGuard.run(call::onConnectFailed));
    }

    /** Records that an attempt was sent on a connection. */
    void sent(HttpConnection connection) {
        mUsed.add(connection);
    }

    /** Gives a connection back for reuse by other requests. */
    void release(ListedUpstream upstream, HttpConnection connection, long nowMillis) {
        mPools.connections(upstream).release(connection, nowMillis);
    }
}
