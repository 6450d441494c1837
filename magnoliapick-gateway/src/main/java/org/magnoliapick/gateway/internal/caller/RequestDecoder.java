package org.magnoliapick.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.util.List;

/** Decodes requests and tells whether one has arrived in part. */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private boolean mInsideRequest;

    RequestDecoder(int maxHeaderBytes) {
        super(MAX_INITIAL_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES);
    }

    /** Returns whether bytes of a request have arrived, but not yet its end. */
    boolean isInsideRequest() {
        return mInsideRequest;
    }

    /** Returns whether bytes that were read follow the request that was just decoded. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
            throws Exception {
        // Line breaks before a request line are skipped by the decoder and begin no request.
        mInsideRequest |= buffer.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
        super.decode(ctx, buffer, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            mInsideRequest = false;
        }
    }
}
