package org.magnoliapick.route;

/**
 * What the upstreams of a service tolerate while they are cold.
 *
 * @param coldMillis how long an upstream is cold after it started, in milliseconds
 * @param perSecond the requests per second that a cold upstream tolerates from all instances
 *     together; above 0
 */
public record ColdSpec(long coldMillis, double perSecond) {}
