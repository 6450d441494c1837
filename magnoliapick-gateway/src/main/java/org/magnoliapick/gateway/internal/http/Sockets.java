package org.magnoliapick.gateway.internal.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.Map;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.magnoliapick.gateway.AddressPort;

/** Options and bootstrap code shared by the gateway's sockets. */
public final class Sockets {
    /**
     * Idle seconds before the first TCP keepalive probe. Together with the interval and the number
     * of probes, a peer that lost power is detected within 3 s.
     */
    private static final int KEEPALIVE_IDLE_SECONDS = 1;

    private static final int KEEPALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEPALIVE_PROBES = 2;

    /** The maximum number of bytes that a connection reads until others have had their turn. */
    private static final int READ_BYTES = 16_384;

    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MIN_READ_BYTES = 64;

    private Sockets() {}

    private static RecvByteBufAllocator oneReadPerTurn() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, READ_BYTES)
                .maxMessagesPerRead(1);
    }

    /**
     * Binds an address; returns the port, which the system chooses if the address has port 0.
     *
     * @param bootstrap the bootstrap with the options specific to this server
     * @param handlers adds the handlers to the pipeline of each accepted connection
     * @throws InterruptedException if interrupted before the address was bound
     */
    public static int listen(
            ServerBootstrap bootstrap,
            EventLoopGroup loop,
            AddressPort address,
            Consumer<ChannelPipeline> handlers)
            throws InterruptedException {
        return AddressPort.portOf(
                bootstrap
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.RCVBUF_ALLOCATOR, oneReadPerTurn())
                        .childHandler(initializer(handlers))
                        .bind(address.socketAddress())
                        .sync()
                        .channel()
                        .localAddress());
    }

    /** Returns an initializer that adds handlers to the pipeline of each new connection. */
    static ChannelHandler initializer(Consumer<ChannelPipeline> handlers) {
        return new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                handlers.accept(channel.pipeline());
            }
        };
    }

    /**
     * Returns the options of client connections: keepalive probes detect unresponsive peers, and
     * the end of what a server sends is told from a reset, and one server that sends much does not
     * hold up the others.
     */
    static Map<ChannelOption<?>, Object> clientOptions() {
        return Map.of(
                ChannelOption.TCP_NODELAY,
                true,
                ChannelOption.SO_KEEPALIVE,
                true,
                ChannelOption.ALLOW_HALF_CLOSURE,
                true,
                ChannelOption.RCVBUF_ALLOCATOR,
                oneReadPerTurn(),
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                KEEPALIVE_IDLE_SECONDS,
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                KEEPALIVE_INTERVAL_SECONDS,
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                KEEPALIVE_PROBES);
    }
}
