package org.magnoliapick.gateway;

import java.net.InetSocketAddress;
import java.net.SocketAddress;

/**
 * An IP address and a port.
 *
 * @param host the IP address
 * @param port the port
 */
public record AddressPort(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code IP:PORT}.
     *
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static AddressPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected IP:PORT, got '" + text + "'");
        }
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("expected IP:PORT, got '" + text + "'", e);
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
        return new AddressPort(text.substring(0, colon), port);
    }

    /** Returns the port of an IP socket address. */
    public static int portOf(SocketAddress address) {
        return ((InetSocketAddress) address).getPort();
    }

    /** Returns the socket address; needs no name lookup as long as the host is an IP address. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ':' + port;
    }
}
