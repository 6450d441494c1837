package org.magnoliapick.gateway.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Locale;
import org.magnoliapick.request.AttemptEnd;

/**
 * A client connection to a server that carries one request at a time. It is reused only after a
 * complete response that is not followed by further bytes, and not after one to another request.
 * All methods run on the event loop.
 */
public final class HttpConnection extends ChannelInboundHandlerAdapter {
    /** The idle timeout assumed if the server sends no Keep-Alive timeout, in milliseconds. */
    private static final long DEFAULT_IDLE_MILLIS = 4_000;

    /** The longest idle timeout of a server that is relied on: an hour. */
    private static final long MAX_IDLE_SECONDS = 3_600;

    /** Time before the server's idle timeout when a connection is no longer used, in ms. */
    private static final long IDLE_MARGIN_MILLIS = 500;

    private final ResponseDecoder mDecoder;
    private Channel mChannel;
    private ResponseListener mListener;
    private ChannelFuture mWriteFuture;
    private ResponseBounds mBounds = new ResponseBounds();
    private boolean mBroken;

    /** Whether the response being read is skipped: informational, or not to this request. */
    private boolean mSkipping;

    /** Whether the server sent a response to another request, after which it may send more. */
    private boolean mCrossed;

    private boolean mHeadReceived;

    /** Whether the response states no length, so that the server's end of sending ends it. */
    private boolean mEndsWithConnection;

    /** Whether the response has ended, and is complete if the rest of the request is written. */
    private boolean mAwaitingWrite;

    private boolean mReusable = true;
    private long mIdleLimitMillis = DEFAULT_IDLE_MILLIS;
    private long mIdleSinceMillis;

    HttpConnection(ResponseDecoder decoder) {
        mDecoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mChannel = ctx.channel();
    }

    /** Returns whether the connection is open. */
    boolean isOpen() {
        return mChannel != null && mChannel.isActive();
    }

    /** Returns whether the connection is open and reusable and carries no request. */
    public boolean isIdle() {
        return mChannel != null && mChannel.isActive() && mListener == null && mReusable;
    }

    /** Returns whether the server is expected to still keep the idle connection open. */
    public boolean isFresh(long nowMillis) {
        return nowMillis - mIdleSinceMillis < mIdleLimitMillis - IDLE_MARGIN_MILLIS;
    }

    /** Records that the connection became idle now. */
    public void markIdle(long nowMillis) {
        mIdleSinceMillis = nowMillis;
    }

    /**
     * Sends a request.
     *
     * @return false if the connection could not be used, so that no byte of the request was sent
     */
    public boolean send(HttpRequest head, ByteBuf body, ResponseListener listener) {
        if (!isIdle()) {
            return false;
        }
        mListener = listener;
        mHeadReceived = false;
        mSkipping = false;
        mBounds = new ResponseBounds();
        mDecoder.expectResponse(true);
        mChannel.write(head);
        mWriteFuture = mChannel.writeAndFlush(new DefaultLastHttpContent(body));
        return true;
    }

    /**
     * Pauses or resumes reading, so that a response whose receiver is slow does not accumulate in
     * memory.
     */
    public void setReading(boolean reading) {
        if (mChannel != null) {
            mChannel.config().setAutoRead(reading);
        }
    }

    /** Aborts any request in flight and closes; the listener is not called any more. */
    public void cancel() {
        mListener = null;
        close();
    }

    private void close() {
        mReusable = false;
        if (mChannel != null) {
            mChannel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (mListener != null) {
                handle(msg);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void handle(Object msg) {
        if (msg instanceof HttpResponse head) {
            onHead(head);
        }
        if (mListener != null && msg instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            fail(endFor(head.decoderResult().cause()));
            return;
        }
        boolean informational = head.status().code() < 200;
        if (informational) {
            skip();
            return;
        }
        if (!mListener.onHead(head)) {
            mCrossed = true;
            skip();
            return;
        }
        mHeadReceived = true;
        mEndsWithConnection = endsWithConnection(head);
        mReusable = HttpUtil.isKeepAlive(head) && !mCrossed;
        parseKeepAlive(head);
    }

    private void skip() {
        mSkipping = true;
        if (mBounds.skipResponse()) {
            fail(AttemptEnd.EXCESSIVE);
        }
    }

    private AttemptEnd endFor(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return AttemptEnd.EXCESSIVE;
        }
        return mHeadReceived ? AttemptEnd.CUT : AttemptEnd.MALFORMED;
    }

    /** Returns whether a response states no length, so that it ends with its connection. */
    public static boolean endsWithConnection(HttpResponse head) {
        return !HttpUtil.isTransferEncodingChunked(head) && !HttpUtil.isContentLengthSet(head);
    }

    private void parseKeepAlive(HttpResponse head) {
        String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE.toString());
        if (value == null) {
            return;
        }
        for (String parameter : value.toLowerCase(Locale.ROOT).split(",")) {
            String trimmed = parameter.trim();
            if (trimmed.startsWith("timeout=")) {
                try {
                    long seconds = Long.parseLong(trimmed.substring(8).trim());
                    mIdleLimitMillis = Math.min(MAX_IDLE_SECONDS, seconds) * 1_000;
                } catch (NumberFormatException e) {
                    // The server sent no usable timeout.
                    mIdleLimitMillis = DEFAULT_IDLE_MILLIS;
                }
            }
        }
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(endFor(content.decoderResult().cause()));
            return;
        }
        boolean last = content instanceof LastHttpContent;
        int bytes = content.content().readableBytes();
        if (mSkipping) {
            mSkipping = !last;
            if (mBounds.skipBytes(bytes)) {
                fail(AttemptEnd.EXCESSIVE);
            }
            return;
        }
        if (bytes > 0) {
            if (mBounds.addPiece(bytes)) {
                fail(AttemptEnd.EXCESSIVE);
                return;
            }
            mListener.onContent(content.content());
        }
        if (last && mListener != null) {
            onLast();
        }
    }

    private void onLast() {
        boolean reset =
                mBroken
                        || (mEndsWithConnection
                                && !mChannel.isActive()
                                && !mDecoder.isInputEnded());
        if (reset || !mHeadReceived) {
            fail(AttemptEnd.CUT);
        } else if (mEndsWithConnection && mDecoder.isInputEnded() && !mWriteFuture.isSuccess()) {
            awaitWrite();
        } else {
            complete();
        }
    }

    /**
     * Waits until the rest of the request is written: a server that still reads it has ended its
     * response, and one that crashed resets the connection.
     */
    private void awaitWrite() {
        mAwaitingWrite = true;
        mWriteFuture.addListener(
                write -> {
                    if (mListener == null) {
                        return;
                    }
                    if (write.isSuccess()) {
                        complete();
                    } else {
                        fail(AttemptEnd.CUT);
                    }
                });
    }

    private void complete() {
        ResponseListener listener = mListener;
        mListener = null;
        mDecoder.expectResponse(false);
        // The receiver may have paused reading although the rest of the response was read already.
        setReading(true);
        boolean clean =
                mReusable
                        && !mDecoder.isInputEnded()
                        && !mDecoder.hasUnreadBytes()
                        && mWriteFuture.isSuccess();
        if (!clean || !mChannel.isActive()) {
            close();
        }
        listener.onComplete();
    }

    private void fail(AttemptEnd end) {
        ResponseListener listener = mListener;
        mListener = null;
        close();
        if (listener != null) {
            listener.onFailure(end);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !(mAwaitingWrite && mListener != null)) {
            endOfConnection();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        mBroken = true;
        endOfConnection();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endOfConnection();
    }

    /** Fails the request that has no complete response, and closes the connection. */
    private void endOfConnection() {
        fail(mHeadReceived ? AttemptEnd.CUT : AttemptEnd.LOST_BEFORE_HEAD);
    }
}
