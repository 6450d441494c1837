package org.magnoliapick.gateway.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
 * A connection to a server: one request at a time. It is used again only after a whole answer with
 * nothing behind it. All methods run on the event loop.
 */
public final class HttpConnection extends ChannelInboundHandlerAdapter {
    /** How long a connection may be idle where the server does not say, in milliseconds. */
    private static final long IDLE_MILLIS = 4_000;

    /** How much sooner than the server a connection is given up, in milliseconds. */
    private static final long IDLE_MARGIN_MILLIS = 500;

    private final ResponseDecoder mDecoder;
    private Channel mChannel;
    private ResponseListener mListener;
    private ChannelFuture mWritten;
    private boolean mBroken;
    private boolean mSkipping;
    private boolean mHeadSeen;
    private boolean mReusable = true;
    private long mIdleLimitMillis = IDLE_MILLIS;
    private long mIdleSinceMillis;

    HttpConnection(ResponseDecoder decoder) {
        mDecoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mChannel = ctx.channel();
    }

    /** Returns whether the connection stands and carries no request. */
    public boolean isIdle() {
        return mChannel != null && mChannel.isActive() && mListener == null && mReusable;
    }

    /** Returns whether the server is expected to keep the idle connection for some time yet. */
    public boolean isFresh(long nowMillis) {
        return nowMillis - mIdleSinceMillis < mIdleLimitMillis - IDLE_MARGIN_MILLIS;
    }

    /** Notes since when the connection is idle. */
    public void markIdle(long nowMillis) {
        mIdleSinceMillis = nowMillis;
    }

    /** Sends a request; returns false if no byte of it can have left. */
    public boolean send(HttpRequest head, ByteBuf body, ResponseListener listener) {
        if (!isIdle()) {
            return false;
        }
        mListener = listener;
        mHeadSeen = false;
        mSkipping = false;
        mDecoder.expecting(true);
        mChannel.write(head);
        mWritten = mChannel.writeAndFlush(new DefaultLastHttpContent(body));
        return true;
    }

    /** Holds up or goes on reading, so that a slow reader of the answer fills no memory. */
    public void setReading(boolean reading) {
        if (mChannel != null) {
            mChannel.config().setAutoRead(reading);
        }
    }

    /** Gives up the request under way, if any, and closes; the listener hears nothing more. */
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
                read(msg);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void read(Object msg) {
        if (msg instanceof HttpResponse head) {
            onHead(head);
        }
        if (mListener != null && msg instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            fail(AttemptEnd.MALFORMED);
            return;
        }
        boolean informational = head.status().code() < 200;
        if (informational || !mListener.onHead(head)) {
            mSkipping = true;
            return;
        }
        mHeadSeen = true;
        mReusable = HttpUtil.isKeepAlive(head);
        readKeepAlive(head);
    }

    private void readKeepAlive(HttpResponse head) {
        String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE.toString());
        if (value == null) {
            return;
        }
        for (String each : value.toLowerCase(Locale.ROOT).split(",")) {
            String item = each.trim();
            if (item.startsWith("timeout=")) {
                try {
                    mIdleLimitMillis = Long.parseLong(item.substring(8).trim()) * 1_000;
                } catch (NumberFormatException e) {
                    // The server says nothing that can be used.
                    mIdleLimitMillis = IDLE_MILLIS;
                }
            }
        }
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(mHeadSeen ? AttemptEnd.CUT : AttemptEnd.MALFORMED);
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (mSkipping) {
            mSkipping = !last;
            return;
        }
        if (content.content().isReadable()) {
            mListener.onContent(content.content());
        }
        if (last && mListener != null) {
            onLast();
        }
    }

    private void onLast() {
        ResponseListener listener = mListener;
        if (mBroken || !mHeadSeen) {
            fail(AttemptEnd.CUT);
            return;
        }
        mListener = null;
        mDecoder.expecting(false);
        boolean clean = mReusable && !mDecoder.hasMore() && mWritten.isSuccess();
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
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        mBroken = true;
        if (mListener != null) {
            fail(mHeadSeen ? AttemptEnd.CUT : AttemptEnd.LOST_BEFORE_HEAD);
        } else {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mReusable = false;
        if (mListener != null) {
            fail(mHeadSeen ? AttemptEnd.CUT : AttemptEnd.LOST_BEFORE_HEAD);
        }
    }
}
