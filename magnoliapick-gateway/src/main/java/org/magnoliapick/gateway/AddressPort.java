package org.magnoliapick.gateway;

import java.net.InetSocketAddress;
import java.net.SocketAddress;

/**
 * An IP number and a port.
 *
 * @param host the IP number
 * @param port the port
 */
public record AddressPort(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Reads {@code IP:PORT}.
     *
     * @throws IllegalArgumentException if the text is something else
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
            throw new IllegalArgumentException("no port: " + port);
        }
        return new AddressPort(text.substring(0, colon), port);
    }

    /** Returns the port of a bound socket's address. */
    public static int portOf(SocketAddress address) {
        return ((InetSocketAddress) address).getPort();
    }

    /** Returns the address for a socket; the host is an IP number, so nothing is looked up. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ':' + port;
    }
}
