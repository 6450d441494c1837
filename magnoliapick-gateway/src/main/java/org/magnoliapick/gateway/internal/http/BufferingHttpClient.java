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

/** Calls to one server whose answers are small and read whole. */
public final class BufferingHttpClient {
    /** The largest answer that is read: sixteen times a page of the store. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private final EventLoop mLoop;
    private final ConnectionPool mConnections;
    private final AddressPort mAddress;
    private final LongSupplier mClockMillis;

    /** Creates calls to a server. */
    public BufferingHttpClient(
            EventLoop loop, Connector connector, AddressPort address, LongSupplier clockMillis) {
        mLoop = loop;
        mAddress = address;
        mConnections = new ConnectionPool(connector, address);
        mClockMillis = clockMillis;
    }

    /** What became of a call. */
    public interface Listener {
        /** The whole answer is there. */
        void answered(int status, byte[] body);

        /** There will be no answer. */
        void failed(String reason);
    }

    /** Makes a call without a body. */
    public void send(HttpRequest request, long timeoutMillis, Listener listener) {
        request.headers().set(HttpHeaderNames.HOST, mAddress.toString());
        Call call = new Call(listener);
        call.mTimer =
                mLoop.schedule(
                        () -> call.end("timed out after " + timeoutMillis + " ms"),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        mConnections.acquire(
                mClockMillis.getAsLong(),
                connection -> call.connected(connection, request),
                () -> call.end("no connection"));
    }

    private final class Call implements ResponseListener {
        private final Listener mListener;
        private final ByteBuf mBody = Unpooled.buffer(1_024);
        private ScheduledFuture<?> mTimer;
        private HttpConnection mConnection;
        private int mStatus;
        private boolean mOver;

        private Call(Listener listener) {
            mListener = listener;
        }

        private void connected(HttpConnection connection, HttpRequest request) {
            if (mOver) {
                mConnections.release(connection, mClockMillis.getAsLong());
                return;
            }
            mConnection = connection;
            if (!connection.send(request, Unpooled.EMPTY_BUFFER, this)) {
                end("connection closed");
            }
        }

        @Override
        public boolean onHead(HttpResponse head) {
            mStatus = head.status().code();
            return true;
        }

        @Override
        public void onContent(ByteBuf piece) {
            if (mBody.readableBytes() + piece.readableBytes() > MAX_ANSWER_BYTES) {
                end("answer too large");
            } else {
                mBody.writeBytes(piece);
            }
        }

        @Override
        public void onComplete() {
            mOver = true;
            mTimer.cancel(false);
            mConnections.release(mConnection, mClockMillis.getAsLong());
            byte[] body = new byte[mBody.readableBytes()];
            mBody.readBytes(body);
            mListener.answered(mStatus, body);
        }

        @Override
        public void onFailure(AttemptEnd end) {
            end(end.name());
        }

        private void end(String reason) {
            if (mOver) {
                return;
            }
            mOver = true;
            mTimer.cancel(false);
            if (mConnection != null) {
                mConnection.cancel();
            }
            mListener.failed(reason);
        }
    }
}
