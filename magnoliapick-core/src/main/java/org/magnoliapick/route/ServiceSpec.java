package org.magnoliapick.route;

import java.util.Optional;

/**
 * Configuration of a service that routes refer to.
 *
 * @param name the name of the service
 * @param maxConnections maximum number of connections that one upstream of the service accepts from
 *     all its clients together
 * @param engine the capacity of its model engines; empty for plain services
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {}
