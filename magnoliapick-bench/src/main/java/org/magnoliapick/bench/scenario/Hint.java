package org.magnoliapick.bench.scenario;

import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/** What a caller says about the cost of its request. */
public enum Hint {
    /** Nothing. */
    NONE {
        @Override
        public OptionalDouble of(double cost, RandomGenerator random) {
            return OptionalDouble.empty();
        }
    },
    /** The true cost. */
    EXACT {
        @Override
        public OptionalDouble of(double cost, RandomGenerator random) {
            return OptionalDouble.of(cost);
        }
    },
    /** A figure between a third of the true cost and three times it. */
    ROUGH {
        @Override
        public OptionalDouble of(double cost, RandomGenerator random) {
            double exponent = random.nextDouble(-1, 1);
            return OptionalDouble.of(cost * Math.pow(LARGEST_ERROR_FACTOR, exponent));
        }
    };

    private static final double LARGEST_ERROR_FACTOR = 3;

    /** Returns the hint in service units. */
    public abstract OptionalDouble of(double cost, RandomGenerator random);
}
