package org.magnoliapick.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.OptionalLong;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.internal.relay.CallerResponse;
import org.magnoliapick.gateway.internal.relay.Relay;

/**
 * A connection from a caller: reads requests one after the other and writes their answers. Goes on
 * reading while a request is under way, so that a caller that leaves is noticed.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerResponse {
    /** Requests that a caller may send ahead of answers before reading is held up. */
    private static final int MAX_PIPELINED = 16;

    private final CallerServer mServer;
    private final Deque<Object> mAhead = new ArrayDeque<>();
    private Channel mChannel;
    private HttpRequest mHead;
    private ByteBuf mBody;
    private Relay mRelay;
    private boolean mAnswering;
    private boolean mKeepAlive = true;
    private boolean mClosing;
    private long mSinceMillis;

    CallerConnection(CallerServer server) {
        mServer = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mChannel = ctx.channel();
        mSinceMillis = mServer.nowMillis();
        mServer.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mClosing = true;
        mServer.closed(this);
        dropAhead();
        if (mBody != null && mRelay == null && !mAnswering) {
            mBody.release();
        }
        mBody = null;
        Relay relay = mRelay;
        mRelay = null;
        if (relay != null) {
            relay.callerDisconnected();
        }
    }

    private void dropAhead() {
        mAhead.forEach(ReferenceCountUtil::release);
        mAhead.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (mClosing) {
            ReferenceCountUtil.release(msg);
        } else if (mAnswering) {
            mAhead.add(msg);
            if (mAhead.size() >= MAX_PIPELINED) {
                mChannel.config().setAutoRead(false);
            }
        } else {
            take(msg);
        }
    }

    private void take(Object msg) {
        try {
            if (msg instanceof HttpRequest head) {
                onHead(head);
            }
            if (!mClosing && msg instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void onHead(HttpRequest head) {
        mSinceMillis = mServer.nowMillis();
        if (head.decoderResult().isFailure()) {
            rejectUnread(status(head.decoderResult().cause()));
            return;
        }
        mHead = head;
        mKeepAlive = HttpUtil.isKeepAlive(head);
        mBody = Unpooled.buffer((int) Math.max(0, Math.min(16_384, contentLength(head))));
        if (contentLength(head) > mServer.limits().maxBodyBytes()) {
            rejectUnread(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(head)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private static long contentLength(HttpRequest head) {
        return HttpUtil.getContentLength(head, 0L);
    }

    private static HttpResponseStatus status(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    private void onContent(HttpContent content) {
        if (mBody == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            rejectUnread(HttpResponseStatus.BAD_REQUEST);
        } else if (mBody.readableBytes() + content.content().readableBytes()
                > mServer.limits().maxBodyBytes()) {
            rejectUnread(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else {
            mBody.writeBytes(content.content());
            if (content instanceof LastHttpContent) {
                begin();
            }
        }
    }

    private void begin() {
        mAnswering = true;
        ByteBuf body = mBody;
        mBody = null;
        HttpRequest head = mHead;
        Relay relay = mServer.relays().accept(head, body, this, mSinceMillis);
        if (mAnswering && mHead == head) {
            mRelay = relay;
        }
    }

    /** Answers a request that could not be read, and closes: what follows cannot be told apart. */
    private void rejectUnread(HttpResponseStatus status) {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        mClosing = true;
        HttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        answer.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        mChannel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpResponse answer =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        setConnection(headers);
        mChannel.write(answer);
        finish();
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers) {
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnection(headers);
        mChannel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    @Override
    public void sendChunk(ByteBuf piece) {
        mChannel.writeAndFlush(new DefaultHttpContent(piece), mChannel.voidPromise());
    }

    @Override
    public void end() {
        mChannel.write(LastHttpContent.EMPTY_LAST_CONTENT);
        finish();
    }

    @Override
    public void sendError(ErrorKind kind, OptionalLong retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (retryAfterMillis.isPresent()) {
            headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMillis.getAsLong()));
        }
        headers.set("Magnoliapick-Outcome", kind.outcome().wireName());
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        ByteBuf body = Unpooled.copiedBuffer(kind.wireName() + "\n", StandardCharsets.US_ASCII);
        sendComplete(HttpResponseStatus.valueOf(kind.httpStatus()), headers, body);
    }

    private static String seconds(long millis) {
        return millis / 1_000 + "." + String.format(Locale.ROOT, "%03d", millis % 1_000);
    }

    @Override
    public void abort() {
        mRelay = null;
        mClosing = true;
        mChannel.close();
    }

    @Override
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    private void setConnection(HttpHeaders headers) {
        if (!mKeepAlive || mServer.leaving()) {
            mKeepAlive = false;
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish() {
        mAnswering = false;
        mRelay = null;
        mHead = null;
        mSinceMillis = mServer.nowMillis();
        if (!mKeepAlive || mServer.isClosing()) {
            mClosing = true;
            dropAhead();
            mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        mChannel.flush();
        mChannel.config().setAutoRead(true);
        while (!mAnswering && !mClosing && !mAhead.isEmpty()) {
            take(mAhead.poll());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (mRelay != null) {
            mRelay.callerWritabilityChanged();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            mServer.log()
                    .line("caller.fault")
                    .with("fault", cause)
                    .with("at", cause.getStackTrace().length > 0 ? cause.getStackTrace()[0] : "")
                    .log();
        }
        ctx.close();
    }

    /** Closes the connection if its time without a request, or for a head, is over. */
    void sweep(long nowMillis) {
        if (mAnswering || mClosing || mHead != null) {
            return;
        }
        boolean idle = nowMillis - mSinceMillis > mServer.limits().idleTimeoutMillis();
        if (idle || mServer.isClosing()) {
            mClosing = true;
            mChannel.close();
        }
    }
}
