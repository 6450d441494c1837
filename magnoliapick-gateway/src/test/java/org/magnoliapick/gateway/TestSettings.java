package org.magnoliapick.gateway;

import java.util.List;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;

/** Settings of a gateway on loopback, for tests. */
public final class TestSettings {
    public static final FailureDomain DOMAIN = new FailureDomain("a");

    /** Lets the system choose a port when it is bound. */
    private static final AddressPort ANY = local(0);

    private TestSettings() {}

    /** Returns an address on loopback. */
    public static AddressPort local(int port) {
        return new AddressPort("127.0.0.1", port);
    }

    /** Returns settings with a store at a port of loopback, and no other instances. */
    public static GatewaySettings withStore(int port) {
        return new GatewaySettings(
                new InstanceId("i"),
                DOMAIN,
                ANY,
                ANY,
                "/ready",
                ANY,
                ANY,
                List.of(),
                local(port),
                new GatewaySettings.RetryBudget(1, 100, 10_000),
                4_000,
                1_000,
                1_000,
                new GatewaySettings.Bounds(2_000, 2_000));
    }
}
