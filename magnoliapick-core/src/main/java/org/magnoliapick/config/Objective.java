package org.magnoliapick.config;

import java.util.Optional;

/**
 * The service level objective of a workspace for one request class.
 *
 * @param latencyMillis the target time to the complete response, in milliseconds
 * @param firstTokenMillis the target time to the first token, in milliseconds
 * @param tokenGapMillis the target time between tokens, in milliseconds
 * @param successRatio the target ratio of requests that meet the objective
 */
public record Objective(
        Optional<Long> latencyMillis,
        Optional<Long> firstTokenMillis,
        Optional<Long> tokenGapMillis,
        double successRatio) {
    /** The success ratio of an objective that sets none. */
    public static final double DEFAULT_SUCCESS_RATIO = 0.95;
}
