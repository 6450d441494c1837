package org.magnoliapick.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.OptionalLong;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.internal.relay.CallerResponse;

/** Writes the response to one request of a caller's connection. */
final class CallerExchange implements CallerResponse {
    /** The header that says whether a request that got an error response may have run. */
    static final String OUTCOME = "Magnoliapick-Outcome";

    private final CallerConnection mConnection;
    private final Channel mChannel;

    /** Whether the response asks the caller to close the connection. */
    private boolean mCloseAnnounced;

    private boolean mHeadSent;
    private boolean mEnded;

    CallerExchange(CallerConnection connection, Channel channel) {
        mConnection = connection;
        mChannel = channel;
    }

    @Override
    public void sendComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        if (mEnded) {
            body.release();
            return;
        }
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        setConnectionHeader(headers);
        mEnded = true;
        mConnection.closeIfUnwritten(mChannel.writeAndFlush(response));
        mConnection.responseEnded(mCloseAnnounced);
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers) {
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(headers);
        mHeadSent = true;
        mConnection.closeIfUnwritten(
                mChannel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)));
    }

    @Override
    public void sendChunk(ByteBuf chunk) {
        mChannel.writeAndFlush(new DefaultHttpContent(chunk), mChannel.voidPromise());
        if (!mChannel.isWritable()) {
            mConnection.chargeUnread();
        }
    }

    @Override
    public void end() {
        mEnded = true;
        mConnection.closeIfUnwritten(mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        mConnection.responseEnded(mCloseAnnounced);
    }

    @Override
    public void sendError(ErrorKind kind, OptionalLong retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (retryAfterMillis.isPresent()) {
            headers.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterMillis.getAsLong()));
        }
        headers.set(OUTCOME, kind.outcome().wireName());
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        ByteBuf body = Unpooled.copiedBuffer(kind.wireName() + "\n", StandardCharsets.US_ASCII);
        sendComplete(HttpResponseStatus.valueOf(kind.httpStatus()), headers, body);
    }

    /** Returns a time as seconds with a fraction. */
    static String formatSeconds(long millis) {
        return millis / 1_000 + "." + String.format(Locale.ROOT, "%03d", millis % 1_000);
    }

    @Override
    public void abort() {
        mEnded = true;
        mConnection.abort();
    }

    @Override
    public void fail(ErrorKind kind) {
        if (mEnded) {
            return;
        }
        if (mHeadSent) {
            abort();
        } else {
            sendError(kind, OptionalLong.empty());
        }
    }

    @Override
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    @Override
    public boolean isCallerConnected() {
        return mChannel.isActive();
    }

    private void setConnectionHeader(HttpHeaders headers) {
        if (!mConnection.staysOpen()) {
            mCloseAnnounced = true;
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
