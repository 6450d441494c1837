package org.magnoliapick.route;

/**
 * One of the services that a route leads to.
 *
 * @param service the name of the service
 * @param weight its share of the route's requests, relative to the other weights
 */
public record WeightedService(String service, int weight) {}
