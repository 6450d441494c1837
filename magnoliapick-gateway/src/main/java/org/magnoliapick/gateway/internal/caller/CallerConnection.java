package org.magnoliapick.gateway.internal.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
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
import java.util.Optional;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.internal.relay.Relay;
import org.magnoliapick.memory.CallerMemory;
import org.magnoliapick.memory.ProgressWait;
import org.magnoliapick.overload.Rejection;
import org.magnoliapick.relay.RequestWait;

/**
 * A connection from a caller. Requests are processed one at a time. Reading continues while a
 * request is in flight, so that a disconnect of the caller is detected; requests that are pipelined
 * meanwhile stay undecoded until it is answered and the caller has read most of the response.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** The delay after which a rejected caller may try again, in seconds. */
    private static final int RETRY_AFTER_SECONDS = 1;

    private final CallerServer mServer;
    private final RequestDecoder mDecoder;
    private final RequestWait mWait = new RequestWait();
    private final ProgressWait mBodyWait = new ProgressWait();
    private final ProgressWait mUnreadWait = new ProgressWait();
    private Channel mChannel;
    private CallerMemory.Account mAccount;
    private HttpRequest mHead;
    private RequestBody mBody;
    private CallerExchange mExchange;
    private Relay mRelay;
    private boolean mResponding;
    private boolean mKeepAlive = true;
    private boolean mClosing;

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
        mAccount = mServer.memory().open(this::rejectForMemory);
        mDecoder.setAccount(mAccount);
        mWait.begin(mServer.limits(), mServer.nowMillis());
        mServer.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mClosing = true;
        mServer.closed(this);
        releaseBody();
        if (mAccount != null) {
            mAccount.close();
        }
        Relay relay = mRelay;
        mRelay = null;
        if (relay != null) {
            relay.callerDisconnected();
        }
    }

    private void releaseBody() {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (mClosing) {
            ReferenceCountUtil.release(msg);
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
        mBody = new RequestBody(mAccount, contentLength(head));
        mBodyWait.reset();
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
        mAccount.requestEnded();
        mDecoder.discard();
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
        } else if (mBody.bytes() + content.content().readableBytes()
                > mServer.limits().maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (mBody.append(content.content()) && content instanceof LastHttpContent) {
            startRelay();
        }
    }

    private void startRelay() {
        mResponding = true;
        mDecoder.hold();
        mAccount.requestArrived();
        RequestBody body = mBody;
        mBody = null;
        HttpRequest head = mHead;
        mExchange = new CallerExchange(this, mChannel);
        Relay relay = mServer.relays().accept(head, body.take(), mExchange, mArrivedMillis);
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
        rejectAndClose(status, false);
    }

    private void rejectAndClose(HttpResponseStatus status, boolean lingering) {
        mClosing = true;
        releaseBody();
        mAccount.requestEnded();
        mDecoder.discard();
        HttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        ChannelFuture write = mChannel.writeAndFlush(response);
        if (lingering && mChannel instanceof SocketChannel socket) {
            mLingerUntilMillis = mServer.nowMillis() + EarlyRejection.LINGER_MILLIS;
            write.addListener(done -> socket.shutdownOutput());
        } else {
            write.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /**
     * Rejects the request that is arriving, because memory is short; it has not run. If one is in
     * flight, discards the requests behind it, or ends the response that the caller does not read.
     */
    private void rejectForMemory() {
        mServer.counters().count(CallerCounters.Cause.MEMORY);
        if (mClosing) {
            mDecoder.discard();
            if (unreadBytes() > 0) {
                mChannel.close();
            }
        } else if (mDecoder.isHeld()) {
            if (mDecoder.hasUndecodedBytes()) {
                mKeepAlive = false;
                mDecoder.discard();
            } else if (unreadBytes() > 0) {
                mChannel.close();
            }
        } else {
            rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, true);
        }
    }

    /** Returns the size of what was written and not sent yet, in bytes. */
    private long unreadBytes() {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Charges what was written and not sent yet to the account. */
    void chargeUnread() {
        mAccount.resize(CallerMemory.Kind.RESPONSE, unreadBytes());
    }

    /** Returns whether the connection stays open after the response that is sent now. */
    boolean staysOpen() {
        return mKeepAlive && (!mServer.isDraining() || isNextRequestRead());
    }

    /** Returns whether the caller has sent another request, or part of one, that was read. */
    private boolean isNextRequestRead() {
        return mDecoder.isInsideRequest() || mDecoder.hasUndecodedBytes();
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
        mAccount.requestEnded();
        chargeUnread();
        mWait.begin(mServer.limits(), mServer.nowMillis());
        mServer.becameIdle(this);
        if (closeAnnounced || mDecoder.isDiscarding()) {
            mClosing = true;
            logDropped();
            mDecoder.discard();
            mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else if (mChannel.isWritable()) {
            mDecoder.resume();
        }
    }

    /** Logs that the caller sent a request after it had received the request to close. */
    private void logDropped() {
        if (mDecoder.hasUndecodedBytes()) {
            mServer.log()
                    .line("caller.closed")
                    .with("reason", mKeepAlive ? "stopping" : "caller")
                    .with("undecodedBytes", mDecoder.undecodedBytes())
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
        close();
    }

    /** Closes the connection. */
    void close() {
        mClosing = true;
        mChannel.close();
    }

    /** Returns whether no part of a request has arrived and no response is being written. */
    boolean isIdle() {
        return !mResponding
                && !mClosing
                && mHead == null
                && !mDecoder.isHeld()
                && !mDecoder.isInsideRequest();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (mRelay != null) {
            mRelay.callerWritabilityChanged();
        }
        if (!mResponding && !mClosing && mDecoder.isHeld() && mChannel.isWritable()) {
            mDecoder.resume();
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
     * one while the server is closing connections, or if its caller does not read a response.
     * Rejects a request whose head is overdue, or whose body makes no progress.
     */
    void sweep(long nowMillis) {
        chargeUnread();
        if (isResponseUnread(nowMillis) || (mLingerUntilMillis > 0 && isLingerOver(nowMillis))) {
            mChannel.close();
        } else if (mClosing || mResponding || mDecoder.isHeld()) {
            return;
        } else if (mHead == null) {
            sweepWaiting(nowMillis);
        } else if (mBodyWait.isOverdue(
                mBody.bytes(), mServer.limits().idleTimeoutMillis(), nowMillis)) {
            end(CallerCounters.Cause.BODY_TIMEOUT, nowMillis);
            rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT, true);
        }
    }

    private boolean isLingerOver(long nowMillis) {
        return nowMillis >= mLingerUntilMillis;
    }

    /** Returns whether a response is unread, without progress, for longer than the idle timeout. */
    private boolean isResponseUnread(long nowMillis) {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        if (buffer == null || buffer.isEmpty()) {
            mUnreadWait.reset();
            return false;
        }
        long limitMillis = mServer.limits().idleTimeoutMillis();
        long progress = ((long) buffer.size() << Integer.SIZE) + buffer.currentProgress();
        boolean overdue = mUnreadWait.isOverdue(progress, limitMillis, nowMillis);
        if (overdue) {
            end(CallerCounters.Cause.UNREAD_RESPONSE, nowMillis);
        }
        return overdue;
    }

    private void sweepWaiting(long nowMillis) {
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
        end(causeOf(headOverdue), nowMillis);
        if (headOverdue) {
            rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
        } else {
            close();
        }
    }

    private CallerCounters.Cause causeOf(boolean headOverdue) {
        if (headOverdue) {
            return CallerCounters.Cause.HEAD_TIMEOUT;
        }
        return mServer.isClosing() ? CallerCounters.Cause.STOPPING : CallerCounters.Cause.IDLE;
    }

    private void end(CallerCounters.Cause cause, long nowMillis) {
        mServer.counters().count(cause);
        mServer.log()
                .line("caller.closed")
                .with("reason", cause.logName())
                .with("waitedMillis", mWait.waitedMillis(nowMillis))
                .with("idleLimitMillis", mWait.idleLimitMillis(mServer.limits()))
                .log();
    }
}
