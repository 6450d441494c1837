package org.magnoliapick.gateway;

import java.util.List;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;

/** Gateway settings on loopback addresses, for tests. */
public final class TestSettings {
    public static final FailureDomain DOMAIN = new FailureDomain("a");

    /** An address with port 0, for which the system chooses a port. */
    private static final AddressPort ANY_PORT = loopback(0);

    private TestSettings() {}

    /** Returns a loopback address. */
    public static AddressPort loopback(int port) {
        return new AddressPort("127.0.0.1", port);
    }

    /** Returns settings with a store at a loopback port and no other instances. */
    public static GatewaySettings withStore(int port) {
        return withPeers(port, "i", ANY_PORT, List.of(), 1_000);
    }

    /** Returns settings with a store at a loopback port and other instances. */
    public static GatewaySettings withPeers(
            int port,
            String instance,
            AddressPort peerAddress,
            List<AddressPort> seeds,
            int milliCores) {
        return new GatewaySettings(
                new InstanceId(instance),
                DOMAIN,
                ANY_PORT,
                ANY_PORT,
                "/ready",
                ANY_PORT,
                peerAddress,
                seeds,
                loopback(port),
                new GatewaySettings.RetryBudget(1, 100, 10_000),
                4_000,
                1_000,
                milliCores,
                false,
                new GatewaySettings.Bounds(2_000, 2_000, 5_000),
                false,
                0);
    }
}
