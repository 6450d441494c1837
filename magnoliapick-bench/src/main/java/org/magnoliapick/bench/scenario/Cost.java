package org.magnoliapick.bench.scenario;

import java.util.random.RandomGenerator;

/**
 * A log-normal distribution of the cost of a request, in service units, capped.
 *
 * @param median the median, in service units
 * @param sigma the standard deviation of the logarithm
 * @param max the largest cost, in service units
 */
public record Cost(double median, double sigma, double max) {
    /** Draws a cost in whole service units, at least 1. */
    public double draw(RandomGenerator random) {
        double cost = median * Math.exp(sigma * random.nextGaussian());
        return Math.max(1, Math.rint(Math.min(cost, max)));
    }
}
