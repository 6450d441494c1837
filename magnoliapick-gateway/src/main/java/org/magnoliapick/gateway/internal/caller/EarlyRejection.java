package org.magnoliapick.gateway.internal.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.magnoliapick.gateway.internal.relay.AdmissionGate;
import org.magnoliapick.overload.Rejection;

/**
 * The response to a request that is rejected when its head was read. Only the sending direction of
 * the connection is closed after it: if the connection were closed while bytes of the body are
 * unread, the system would reset it, and the caller might lose the response.
 */
final class EarlyRejection {
    /**
     * How long a caller may take to read the response and to close its side, in milliseconds. What
     * it sends meanwhile is discarded.
     */
    static final long LINGER_MILLIS = 2_000;

    private EarlyRejection() {}

    /** Sends the response. */
    static void send(Channel channel, Rejection rejection) {
        HttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(AdmissionGate.ERROR.httpStatus()),
                        Unpooled.EMPTY_BUFFER);
        response.headers()
                .set(
                        HttpHeaderNames.RETRY_AFTER,
                        CallerExchange.formatSeconds(rejection.retryAfterMillis()))
                .set(CallerExchange.OUTCOME, AdmissionGate.ERROR.outcome().wireName())
                .set(HttpHeaderNames.CONTENT_LENGTH, HttpHeaderValues.ZERO)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ChannelFuture write = channel.writeAndFlush(response);
        write.addListener(
                done -> {
                    if (done.isSuccess() && channel instanceof DuplexChannel duplex) {
                        duplex.shutdownOutput();
                    } else {
                        channel.close();
                    }
                });
    }
}
