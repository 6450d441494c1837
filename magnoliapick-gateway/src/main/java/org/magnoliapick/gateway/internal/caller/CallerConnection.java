package org.magnoliapick.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.internal.relay.Relay;
import org.magnoliapick.overload.Rejection;
import org.magnoliapick.relay.RequestWait;

/**
 * A connection from a caller. Requests are processed one at a time. Reading continues while a
 * request is in flight, so that a disconnect of the caller is detected; requests that are pipelined
 * meanwhile are queued.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Queued HTTP objects (request heads and body chunks) at which reading is paused. */
    private static final int MAX_PIPELINED_OBJECTS = 16;

    private final CallerServer mServer;
    private final RequestDecoder mDecoder;
    private final RequestWait mWait = new RequestWait();
    private final Deque<Object> mPipelined = new ArrayDeque<>();
    private Channel mChannel;
    private HttpRequest mHead;
    private ByteBuf mBody;
    private CallerExchange mExchange;
    private Relay mRelay;
    private boolean mResponding;
    private boolean mKeepAlive = true;
    private boolean mClosing;
    private boolean mHandlingPipelined;

    /** When the last head arrived. */
    private long mArrivedMillis;

    /** When the connection is closed although the caller has not closed it; 0 if not planned. */
    private long mLingerUntilMillis;

    CallerConnection(CallerServer server, RequestDecoder decoder) {
        mServer = server;
        mDecoder = decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mChannel = ctx.channel();
        mWait.begin(mServer.limits(), mServer.nowMillis());
        mServer.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mClosing = true;
        mServer.closed(this);
        releasePipelined();
        if (mBody != null && mRelay == null && !mResponding) {
            mBody.release();
        }
        mBody = null;
        Relay relay = mRelay;
        mRelay = null;
        if (relay != null) {
            relay.callerDisconnected();
        }
    }

    private void releasePipelined() {
        mPipelined.forEach(ReferenceCountUtil::release);
        mPipelined.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (mClosing) {
            ReferenceCountUtil.release(msg);
        } else if (mResponding) {
            mPipelined.add(msg);
            if (mPipelined.size() >= MAX_PIPELINED_OBJECTS) {
                mChannel.config().setAutoRead(false);
            }
        } else {
            handle(msg);
        }
    }

    private void handle(Object msg) {
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
        mArrivedMillis = mServer.nowMillis();
        if (head.decoderResult().isFailure()) {
            rejectAndClose(statusFor(head.decoderResult().cause()));
            return;
        }
        Optional<Rejection> rejection = mServer.relays().admission().decide(head, mArrivedMillis);
        if (rejection.isPresent()) {
            rejectEarly(rejection.get());
            return;
        }
        mHead = head;
        mKeepAlive = HttpUtil.isKeepAlive(head);
        mBody = Unpooled.buffer((int) Math.max(0, Math.min(16_384, contentLength(head))));
        if (contentLength(head) > mServer.limits().maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(head)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    /** Rejects a request whose head was just read; what follows it is discarded. */
    private void rejectEarly(Rejection rejection) {
        mClosing = true;
        mLingerUntilMillis = mArrivedMillis + EarlyRejection.LINGER_MILLIS;
        EarlyRejection.send(mChannel, rejection);
    }

    private static long contentLength(HttpRequest head) {
        return HttpUtil.getContentLength(head, 0L);
    }

    private static HttpResponseStatus statusFor(Throwable cause) {
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
            rejectAndClose(HttpResponseStatus.BAD_REQUEST);
        } else if (mBody.readableBytes() + content.content().readableBytes()
                > mServer.limits().maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else {
            mBody.writeBytes(content.content());
            if (content instanceof LastHttpContent) {
                startRelay();
            }
        }
    }

    private void startRelay() {
        mResponding = true;
        ByteBuf body = mBody;
        mBody = null;
        HttpRequest head = mHead;
        mExchange = new CallerExchange(this, mChannel);
        Relay relay = mServer.relays().accept(head, body, mExchange, mArrivedMillis);
        // The response may be complete already.
        if (mResponding && mHead == head) {
            mRelay = relay;
        }
    }

    /**
     * Responds to a request that could not be read completely, and closes the connection, because
     * the start of the next request is unknown.
     */
    private void rejectAndClose(HttpResponseStatus status) {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        mClosing = true;
        HttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        mChannel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Returns whether the connection stays open after the response that is sent now. */
    boolean staysOpen() {
        return mKeepAlive && (!mServer.isDraining() || isNextRequestRead());
    }

    /** Returns whether the caller has sent another request, or part of one, that was read. */
    private boolean isNextRequestRead() {
        return !mPipelined.isEmpty() || mDecoder.isInsideRequest() || mDecoder.hasUndecodedBytes();
    }

    /**
     * Ends the current request after its response was written.
     *
     * @param closeAnnounced whether the response asked the caller to close the connection
     */
    void responseEnded(boolean closeAnnounced) {
        mResponding = false;
        mRelay = null;
        mHead = null;
        mWait.begin(mServer.limits(), mServer.nowMillis());
        if (closeAnnounced) {
            mClosing = true;
            logDropped();
            releasePipelined();
            mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        mChannel.config().setAutoRead(true);
        handlePipelined();
    }

    /**
     * Handles the objects that were read during a response, until another request is in flight. A
     * request that is answered at once is followed by the next one in the same loop, so that the
     * depth of the stack does not grow with their number.
     */
    private void handlePipelined() {
        if (mHandlingPipelined) {
            return;
        }
        mHandlingPipelined = true;
        try {
            while (!mResponding && !mClosing && !mPipelined.isEmpty()) {
                handleGuarded(mPipelined.poll());
            }
        } finally {
            mHandlingPipelined = false;
        }
    }

    /** Handles an object; a fault is not passed on, because the previous request is answered. */
    private void handleGuarded(Object msg) {
        try {
            handle(msg);
        } catch (RuntimeException | Error e) {
            endAfterFault(e);
        }
    }

    /** Logs the requests that the caller sent after it had received the request to close. */
    private void logDropped() {
        long dropped = mPipelined.stream().filter(HttpRequest.class::isInstance).count();
        if (dropped > 0) {
            mServer.log()
                    .line("caller.closed")
                    .with("reason", mKeepAlive ? "stopping" : "caller")
                    .with("unansweredRequests", dropped)
                    .log();
        }
    }

    /**
     * Closes the connection if a part of a response cannot be written, so that the caller does not
     * wait for it.
     */
    void closeIfUnwritten(ChannelFuture write) {
        write.addListener(
                done -> {
                    if (!done.isSuccess() && mChannel.isOpen()) {
                        mChannel.close();
                        mServer.log().line("caller.unwritten").withFault(done.cause()).log();
                    }
                });
    }

    /** Closes the connection in the middle of a response. */
    void abort() {
        mRelay = null;
        mClosing = true;
        mChannel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (mRelay != null) {
            mRelay.callerWritabilityChanged();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            ctx.close();
        } else {
            endAfterFault(cause);
        }
    }

    /** Ends the connection after a fault, with an answer to the request if one was begun. */
    private void endAfterFault(Throwable cause) {
        mServer.log()
                .line("caller.fault")
                .with("path", mHead == null ? "" : mHead.uri())
                .with("responding", mResponding)
                .withFault(cause)
                .log();
        // The state of the connection is unknown, so it ends with the answer to the request.
        mKeepAlive = false;
        if (mRelay != null) {
            mRelay.connectionFailed();
        } else if (mResponding) {
            mExchange.fail(ErrorKind.INTERNAL);
        } else if (!mClosing) {
            rejectAndClose(HttpResponseStatus.INTERNAL_SERVER_ERROR);
        }
    }

    /**
     * Closes the connection if it has waited for a request beyond the idle timeout, or waits for
     * one while the server is closing connections. Rejects a request whose head is overdue.
     */
    void sweep(long nowMillis) {
        if (mLingerUntilMillis > 0 && nowMillis >= mLingerUntilMillis) {
            mChannel.close();
        }
        if (mResponding || mClosing || mHead != null) {
            return;
        }
        RequestWait.Verdict verdict =
                mWait.check(
                        mServer.limits(),
                        mDecoder.isInsideRequest(),
                        mServer.isClosing(),
                        nowMillis);
        if (verdict == RequestWait.Verdict.KEEP) {
            return;
        }
        boolean headOverdue = verdict == RequestWait.Verdict.REJECT;
        mServer.log()
                .line("caller.closed")
                .with("reason", reason(headOverdue))
                .with("waitedMillis", mWait.waitedMillis(nowMillis))
                .with("idleLimitMillis", mWait.idleLimitMillis(mServer.limits()))
                .log();
        if (headOverdue) {
            rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
        } else {
            mClosing = true;
            mChannel.close();
        }
    }

    private String reason(boolean headOverdue) {
        if (headOverdue) {
            return "head-timeout";
        }
        return mServer.isClosing() ? "stopping" : "idle";
    }
}
