package org.magnoliapick.gateway.internal.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.magnoliapick.gateway.AddressPort;

/** The connections to one server: the one used last is used first, the others are let lapse. */
public final class ConnectionPool {
    /** How long opening a connection may take, in milliseconds: some round trips and a retry. */
    private static final int OPEN_TIMEOUT_MILLIS = 300;

    private final Connector mConnector;
    private final AddressPort mAddress;
    private final Deque<HttpConnection> mIdle = new ArrayDeque<>();
    private boolean mClosed;

    /** Creates an empty set. */
    public ConnectionPool(Connector connector, AddressPort address) {
        mConnector = connector;
        mAddress = address;
    }

    /**
     * Gets a connection that carries no request.
     *
     * @param got gets the connection, at once or once it is open
     * @param failed runs if none could be opened
     */
    public void acquire(long nowMillis, Consumer<HttpConnection> got, Runnable failed) {
        HttpConnection idle = mIdle.pollLast();
        while (idle != null) {
            if (idle.isIdle() && idle.isFresh(nowMillis)) {
                got.accept(idle);
                return;
            }
            idle.cancel();
            idle = mIdle.pollLast();
        }
        mConnector.open(mAddress, OPEN_TIMEOUT_MILLIS, got, failed);
    }

    /** Takes a connection back after a whole answer; keeps it if it can be used again. */
    public void release(HttpConnection connection, long nowMillis) {
        if (mClosed || !connection.isIdle()) {
            connection.cancel();
            return;
        }
        connection.markIdle(nowMillis);
        mIdle.addLast(connection);
    }

    /** Closes connections that the server is about to close or has closed. */
    public void sweep(long nowMillis) {
        mIdle.removeIf(
                each -> {
                    boolean stale = !each.isIdle() || !each.isFresh(nowMillis);
                    if (stale) {
                        each.cancel();
                    }
                    return stale;
                });
    }

    /** Closes what is idle; connections under way are closed as they come back. */
    public void close() {
        mClosed = true;
        mIdle.forEach(HttpConnection::cancel);
        mIdle.clear();
    }
}
