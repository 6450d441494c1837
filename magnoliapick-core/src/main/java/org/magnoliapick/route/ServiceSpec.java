package org.magnoliapick.route;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name its name
 * @param maxConnections how many connections an upstream of it takes from all callers together
 * @param engine what its model engines are; absent for plain services
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {}
