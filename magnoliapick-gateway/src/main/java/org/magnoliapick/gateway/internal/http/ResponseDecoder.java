package org.magnoliapick.gateway.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/** Decodes answers and notices bytes that belong to none. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_PIECE_BYTES = 65_536;

    private boolean mExpecting;

    ResponseDecoder() {
        super(MAX_INITIAL_LINE_BYTES, MAX_HEAD_BYTES, MAX_PIECE_BYTES);
    }

    /** Sets whether an answer is expected; bytes that come otherwise end the connection. */
    void expecting(boolean expecting) {
        mExpecting = expecting;
    }

    /** Returns whether bytes are there beyond the answer that was just decoded. */
    boolean hasMore() {
        return actualReadableBytes() > 0;
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
