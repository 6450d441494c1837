package org.magnoliapick.gateway.internal.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.Map;
import java.util.function.Consumer;
import org.magnoliapick.gateway.AddressPort;

/** Opens HTTP connections to servers. */
public final class Connector {
    private final EventLoopGroup mLoop;

    /** Creates a connector whose connections run on an event loop. */
    public Connector(EventLoopGroup loop) {
        mLoop = loop;
    }

    /**
     * Opens a connection asynchronously.
     *
     * @param timeoutMillis the connect timeout
     * @param opened receives the connection once it is established
     * @param failed receives the cause if the connection could not be established
     */
    public void open(
            AddressPort address,
            int timeoutMillis,
            Consumer<HttpConnection> opened,
            Consumer<Throwable> failed) {
        ResponseDecoder decoder = new ResponseDecoder();
        HttpConnection connection = new HttpConnection(decoder);
        Bootstrap bootstrap = new Bootstrap().group(mLoop).channel(NioSocketChannel.class);
        for (Map.Entry<ChannelOption<?>, Object> option : Sockets.clientOptions().entrySet()) {
            setOption(bootstrap, option.getKey(), option.getValue());
        }
        bootstrap
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .handler(
                        Sockets.initializer(
                                pipeline ->
                                        pipeline.addLast(
                                                new HttpRequestEncoder(), decoder, connection)))
                .connect(address.socketAddress())
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                opened.accept(connection);
                            } else {
                                failed.accept(future.cause());
                            }
                        });
    }

    @SuppressWarnings("unchecked")
    private static void setOption(Bootstrap bootstrap, ChannelOption<?> option, Object value) {
        bootstrap.option((ChannelOption<Object>) option, value);
    }
}
