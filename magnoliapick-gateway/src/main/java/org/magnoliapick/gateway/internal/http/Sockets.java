package org.magnoliapick.gateway.internal.http;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;

/** Options of the gateway's sockets. */
final class Sockets {
    /** Idle seconds before a connection is probed: a peer without power is noticed in 3 s. */
    private static final int PROBE_IDLE_SECONDS = 1;

    private static final int PROBE_INTERVAL_SECONDS = 1;
    private static final int PROBES = 2;

    private Sockets() {}

    /** Returns the options of a connection, so that silent peers are noticed. */
    static Map<ChannelOption<?>, Object> connectionOptions() {
        return Map.of(
                ChannelOption.TCP_NODELAY,
                true,
                ChannelOption.SO_KEEPALIVE,
                true,
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                PROBE_IDLE_SECONDS,
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                PROBE_INTERVAL_SECONDS,
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                PROBES);
    }
}
