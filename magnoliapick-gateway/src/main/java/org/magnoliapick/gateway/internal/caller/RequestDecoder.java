package org.magnoliapick.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.magnoliapick.memory.CallerMemory;

/**
 * Decodes requests one at a time and tells whether one has arrived in part. Heads are kept as raw
 * bytes until they are complete; pipelined requests, until the one before them is answered.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Bytes of pipelined requests at which reading is paused. */
    private static final int MAX_PIPELINED_BYTES = 16_384;

    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** The cost of a byte of trailers, whose shortest lines have four bytes, in bytes. */
    private static final int TRAILER_BYTE_COST = 50;

    private final HeadScanner mScanner;
    private ChannelHandlerContext mContext;
    private CallerMemory.Account mAccount;
    private boolean mInsideRequest;
    private boolean mInsideBody;
    private boolean mHeld;
    private boolean mDecoding;
    private boolean mDiscarding;

    /** Bytes of chunk sizes or trailers since the last content. */
    private long mTrailerBytes;

    RequestDecoder(int maxHeaderBytes) {
        super(MAX_INITIAL_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES);
        mScanner = new HeadScanner(MAX_INITIAL_LINE_BYTES, maxHeaderBytes);
    }

    /** Sets the account to which the memory of heads and undecoded bytes is charged. */
    void setAccount(CallerMemory.Account account) {
        mAccount = account;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        super.handlerAdded(ctx);
        mContext = ctx;
    }

    /** Returns whether bytes of a request have arrived, but not yet its end. */
    boolean isInsideRequest() {
        return mInsideRequest;
    }

    /** Returns whether bytes that were read follow the request that was just decoded. */
    boolean hasUndecodedBytes() {
        return !mDiscarding
                && actualReadableBytes() > 0
                && internalBuffer().forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
    }

    /** Returns whether requests are held back. */
    boolean isHeld() {
        return mHeld;
    }

    /** Holds back requests that follow the one that was just decoded. */
    void hold() {
        mHeld = true;
    }

    /** Decodes requests that were held back. */
    void resume() {
        mHeld = false;
        mContext.channel().config().setAutoRead(true);
        decodeAgain();
    }

    /** Discards what was read and is not decoded yet, and what will be read. */
    void discard() {
        mDiscarding = true;
        mContext.channel().config().setAutoRead(true);
        decodeAgain();
    }

    private void decodeAgain() {
        if (mDecoding || actualReadableBytes() == 0) {
            return;
        }
        try {
            channelRead(mContext, Unpooled.EMPTY_BUFFER);
        } catch (Exception e) {
            mContext.fireExceptionCaught(e);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        if (mDiscarding && !mDecoding && actualReadableBytes() == 0) {
            ReferenceCountUtil.release(msg);
            return;
        }
        boolean wasDecoding = mDecoding;
        mDecoding = true;
        try {
            super.channelRead(ctx, msg);
        } finally {
            mDecoding = wasDecoding;
        }
        if (mHeld && !mDiscarding && actualReadableBytes() >= MAX_PIPELINED_BYTES) {
            ctx.channel().config().setAutoRead(false);
        }
        if (mAccount != null) {
            mAccount.resize(CallerMemory.Kind.UNDECODED, undecodedBytes());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        // The superclass decodes the rest in a loop, in which a response must not begin another.
        mDecoding = true;
        super.channelInactive(ctx);
    }

    /** Returns whether what is read is discarded. */
    boolean isDiscarding() {
        return mDiscarding;
    }

    /** Returns the capacity of the buffer of undecoded bytes; 0 if it is released. */
    long undecodedBytes() {
        return actualReadableBytes() == 0 ? 0 : internalBuffer().capacity();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (ctx.channel().config().isAutoRead()) {
            super.channelReadComplete(ctx);
        } else {
            // The superclass would read on, because nothing was decoded.
            discardSomeReadBytes();
            ctx.fireChannelReadComplete();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (mDiscarding) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (mInsideBody) {
            decodeBody(ctx, buffer, out);
            return;
        }
        // Line breaks before a request line are skipped by the decoder and begin no request.
        mInsideRequest |= buffer.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
        if (!mHeld && mScanner.isDecodable(buffer) && admitHead()) {
            mScanner.reset();
            super.decode(ctx, buffer, out);
            mInsideBody = !out.isEmpty() && out.get(0) instanceof HttpRequest;
            endIfLast(out);
        }
    }

    private boolean admitHead() {
        long bytes = CallerMemory.headBytes(mScanner.scannedBytes(), mScanner.lines());
        return mAccount == null || mAccount.grow(CallerMemory.Kind.HEAD, bytes);
    }

    private void decodeBody(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
            throws Exception {
        int before = buffer.readableBytes();
        super.decode(ctx, buffer, out);
        long trailerBytes = out.isEmpty() ? mTrailerBytes + before - buffer.readableBytes() : 0;
        if (trailerBytes != mTrailerBytes && mAccount != null) {
            long added = (trailerBytes - mTrailerBytes) * TRAILER_BYTE_COST;
            mTrailerBytes = trailerBytes;
            mAccount.grow(CallerMemory.Kind.HEAD, added);
        }
        endIfLast(out);
    }

    private void endIfLast(List<Object> out) {
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            mInsideRequest = false;
            mInsideBody = false;
        }
    }
}
