package org.magnoliapick.gateway.internal.http;

import io.netty.channel.ConnectTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.AddressPort;

/**
 * The idle connections to one server. The most recently used one is taken first, so that surplus
 * connections reach their idle timeout.
 */
public final class ConnectionPool {
    /** The connect timeout in milliseconds: enough for some round trips and a retry. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final Connector mConnector;
    private final AddressPort mAddress;
    private final Deque<HttpConnection> mIdle = new ArrayDeque<>();

    /** All connections, idle or in use; closed ones are removed when they are next looked at. */
    private final Set<HttpConnection> mOpen = new HashSet<>();

    private boolean mClosed;

    /** Creates an empty pool. */
    public ConnectionPool(Connector connector, AddressPort address) {
        mConnector = connector;
        mAddress = address;
    }

    /**
     * Acquires an idle connection, or opens one if there is none.
     *
     * @param acquired receives the connection, either at once or when it is established
     * @param failed runs if no connection could be established
     */
    public void acquire(long nowMillis, Consumer<HttpConnection> acquired, Runnable failed) {
        acquire(nowMillis, Set.of(), acquired, failed);
    }

    /**
     * Acquires an idle connection that is not excluded, or opens one if there is none.
     *
     * @param excluded idle connections that are left to others
     * @param acquired receives the connection, either at once or when it is established
     * @param failed runs if no connection could be established
     */
    public void acquire(
            long nowMillis,
            Set<HttpConnection> excluded,
            Consumer<HttpConnection> acquired,
            Runnable failed) {
        Iterator<HttpConnection> newestFirst = mIdle.descendingIterator();
        while (newestFirst.hasNext()) {
            HttpConnection idle = newestFirst.next();
            if (!idle.isIdle() || !idle.isFresh(nowMillis)) {
                newestFirst.remove();
                idle.cancel();
            } else if (!excluded.contains(idle)) {
                newestFirst.remove();
                acquired.accept(idle);
                return;
            }
        }
        mConnector.open(
                mAddress,
                CONNECT_TIMEOUT_MILLIS,
                connection -> {
                    mOpen.add(connection);
                    acquired.accept(connection);
                },
                cause -> failed.run());
    }

    /**
     * Checks whether the server refuses connections, as after a crash of its process, by opening
     * one unless any is open. A server that accepts it, or does not respond, has not crashed as far
     * as known.
     *
     * @param refused runs if the server refuses the connection
     */
    public void checkRefused(LongSupplier clockMillis, Runnable refused) {
        mOpen.removeIf(each -> !each.isOpen());
        if (!mOpen.isEmpty()) {
            return;
        }
        mConnector.open(
                mAddress,
                CONNECT_TIMEOUT_MILLIS,
                connection -> {
                    mOpen.add(connection);
                    release(connection, clockMillis.getAsLong());
                },
                cause -> {
                    if (!(cause instanceof ConnectTimeoutException)) {
                        refused.run();
                    }
                });
    }

    /** Returns a connection to the pool after its response; closes it if it cannot be reused. */
    public void release(HttpConnection connection, long nowMillis) {
        if (mClosed || !connection.isIdle()) {
            connection.cancel();
            return;
        }
        connection.markIdle(nowMillis);
        mIdle.addLast(connection);
    }

    /** Closes idle connections that the server has closed or is about to close. */
    public void sweep(long nowMillis) {
        mOpen.removeIf(each -> !each.isOpen());
        mIdle.removeIf(
                each -> {
                    boolean stale = !each.isIdle() || !each.isFresh(nowMillis);
                    if (stale) {
                        each.cancel();
                    }
                    return stale;
                });
    }

    /** Closes idle connections; those in use are closed when they are released. */
    public void close() {
        mClosed = true;
        mIdle.forEach(HttpConnection::cancel);
        mIdle.clear();
    }
}
