package org.magnoliapick.router.internal.order;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.OrderConfig;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.order.DesiredState;

/** Reads from the settings what the engines of a failure domain have to hold. */
final class WantedOrders {
    private static final String VERSION_MARK = "@";

    private WantedOrders() {}

    static List<DesiredState> of(FleetConfig config, FailureDomain domain) {
        return config.orders().entrySet().stream()
                .filter(entry -> entry.getValue().version().isPresent())
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> wanted(entry.getValue(), domain))
                .toList();
    }

    private static DesiredState wanted(OrderConfig order, FailureDomain domain) {
        String version = order.version().orElseThrow();
        boolean whole = version.contains(VERSION_MARK);
        return new DesiredState(
                new PoolId(domain, order.target()),
                whole ? version : order.target() + VERSION_MARK + version,
                Set.copyOf(order.adapters()),
                order.role(),
                order.changedAtOffset());
    }
}
