package org.magnoliapick.route;

/**
 * One of the services that the requests of a route are split over.
 *
 * @param service the name of the service
 * @param weight its share of the route's requests, relative to the sum of the weights
 */
public record WeightedService(String service, int weight) {}
