package org.magnoliapick.config;

import java.util.Optional;

/**
 * The service level promised to one class of requests of a workspace.
 *
 * @param latencyMillis the wanted time to the whole answer
 * @param firstTokenMillis the wanted time to the first token
 * @param tokenGapMillis the wanted time between tokens
 * @param successRatio the share of requests that have to meet it
 */
public record Objective(
        Optional<Long> latencyMillis,
        Optional<Long> firstTokenMillis,
        Optional<Long> tokenGapMillis,
        double successRatio) {
    /** The share of requests that have to meet an objective that sets none. */
    public static final double DEFAULT_SUCCESS_RATIO = 0.95;
}
