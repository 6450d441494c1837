package org.magnoliapick.route;

import java.util.Optional;

/**
 * Configuration of a service that routes refer to.
 *
 * @param name the name of the service
 * @param maxConnections maximum number of connections that one upstream of the service accepts from
 *     all its clients together
 * @param engine the capacity of its model engines; empty for plain services
 * @param cold what its upstreams tolerate after they started; empty if they have no cold state
 */
public record ServiceSpec(
        String name, int maxConnections, Optional<EngineSpec> engine, Optional<ColdSpec> cold) {
    /** Creates the configuration of a service whose upstreams have no cold state. */
    public ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {
        this(name, maxConnections, engine, Optional.empty());
    }
}
