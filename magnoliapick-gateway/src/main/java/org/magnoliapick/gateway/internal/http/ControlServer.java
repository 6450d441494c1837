package org.magnoliapick.gateway.internal.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;
import org.magnoliapick.gateway.AddressPort;

/** An HTTP server for short text pages by path, such as readiness and metrics. */
public final class ControlServer {
    private final EventLoopGroup mLoop;
    private final Map<String, Supplier<Page>> mPages;

    /**
     * Creates a server that does not listen yet.
     *
     * @param pages the pages by path; each is rendered anew for every request
     */
    public ControlServer(EventLoopGroup loop, Map<String, Supplier<Page>> pages) {
        mLoop = loop;
        mPages = Map.copyOf(pages);
    }

    /**
     * A response.
     *
     * @param ok whether the status is 200; otherwise it is 503
     * @param text the body
     */
    public record Page(boolean ok, String text) {}

    /**
     * Binds the address; returns the port, which the system chooses if the address has port 0.
     *
     * @throws InterruptedException if interrupted before the address was bound
     */
    public int listen(AddressPort address) throws InterruptedException {
        return Sockets.listen(
                new ServerBootstrap(),
                mLoop,
                address,
                pipeline -> pipeline.addLast(new HttpServerCodec(), new RequestHandler()));
    }

    private FullHttpResponse respond(String uri) {
        int queryStart = uri.indexOf('?');
        Supplier<Page> page = mPages.get(queryStart < 0 ? uri : uri.substring(0, queryStart));
        HttpResponseStatus status = HttpResponseStatus.NOT_FOUND;
        String text = "";
        if (page != null) {
            Page result = page.get();
            status = result.ok() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            text = result.text();
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        return response;
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject msg) {
            if (!(msg instanceof HttpRequest head)) {
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(head) && head.decoderResult().isSuccess();
            FullHttpResponse response = respond(head.uri());
            HttpUtil.setKeepAlive(response, keepAlive);
            ctx.writeAndFlush(response)
                    .addListener(
                            keepAlive
                                    ? ChannelFutureListener.CLOSE_ON_FAILURE
                                    : ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
