package org.magnoliapick.gateway.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.request.AttemptEnd;

/**
 * An HTTP client for one server that buffers each response in memory and reports it once it is
 * complete. Meant for small responses.
 */
public final class BufferingHttpClient {
    /** The largest response body that is accepted: 16 times a page of the store. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private final EventLoop mLoop;
    private final ConnectionPool mPool;
    private final AddressPort mAddress;
    private final LongSupplier mClockMillis;

    /** Creates a client for a server; connections are opened on demand. */
    public BufferingHttpClient(
            EventLoop loop, Connector connector, AddressPort address, LongSupplier clockMillis) {
        mLoop = loop;
        mAddress = address;
        mPool = new ConnectionPool(connector, address);
        mClockMillis = clockMillis;
    }

    /** Receives the outcome of a request; exactly one of the methods is called. */
    public interface Listener {
        /** The response is complete. */
        void answered(HttpResponse head, byte[] body);

        /** The request failed or timed out; no response will follow. */
        void failed(String reason);
    }

    /**
     * Sends a request without a body.
     *
     * @param timeoutMillis the time for connecting, the request and its complete response
     */
    public void send(HttpRequest request, long timeoutMillis, Listener listener) {
        request.headers().set(HttpHeaderNames.HOST, mAddress.toString());
        Call call = new Call(listener);
        call.mTimer =
                mLoop.schedule(
                        () -> call.fail("timed out after " + timeoutMillis + " ms"),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        mPool.acquire(
                mClockMillis.getAsLong(),
                connection -> call.connected(connection, request),
                () -> call.fail("could not connect"));
    }

    private final class Call implements ResponseListener {
        private final Listener mListener;
        private final ByteBuf mBody = Unpooled.buffer(1_024);
        private ScheduledFuture<?> mTimer;
        private HttpConnection mConnection;
        private HttpResponse mHead;
        private boolean mEnded;

        private Call(Listener listener) {
            mListener = listener;
        }

        private void connected(HttpConnection connection, HttpRequest request) {
            if (mEnded) {
                mPool.release(connection, mClockMillis.getAsLong());
                return;
            }
            mConnection = connection;
            if (!connection.send(request, Unpooled.EMPTY_BUFFER, this)) {
                fail("connection closed before the request was sent");
            }
        }

        @Override
        public boolean onHead(HttpResponse head) {
            mHead = head;
            return true;
        }

        @Override
        public void onContent(ByteBuf chunk) {
            if (mBody.readableBytes() + chunk.readableBytes() > MAX_RESPONSE_BYTES) {
                fail("response too large");
            } else {
                mBody.writeBytes(chunk);
            }
        }

        @Override
        public void onComplete() {
            // After a fault in this step the timer still ends the call.
            mPool.release(mConnection, mClockMillis.getAsLong());
            mEnded = true;
            mTimer.cancel(false);
            byte[] body = new byte[mBody.readableBytes()];
            mBody.readBytes(body);
            mListener.answered(mHead, body);
        }

        @Override
        public void onFailure(AttemptEnd end) {
            fail(end.name());
        }

        private void fail(String reason) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            mTimer.cancel(false);
            if (mConnection != null) {
                mConnection.cancel();
            }
            mListener.failed(reason);
        }
    }
}
