package org.magnoliapick.gateway.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/** Decodes responses and closes the connection on bytes that belong to no response. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEAD_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private boolean mExpecting;
    private boolean mInputEnded;

    ResponseDecoder() {
        super(MAX_INITIAL_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
    }

    /** Sets whether a response is expected; bytes received while none is close the connection. */
    void expectResponse(boolean expecting) {
        mExpecting = expecting;
    }

    /** Returns whether undecoded bytes remain after the response that was just decoded. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether the server ended what it sends, other than by a reset. */
    boolean isInputEnded() {
        return mInputEnded;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        // Set before, because the event ends a response without a length.
        mInputEnded |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(ctx, event);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        if (!mExpecting && msg instanceof ByteBuf) {
            ReferenceCountUtil.release(msg);
            ctx.close();
            return;
        }
        super.channelRead(ctx, msg);
    }
}
