package org.magnoliapick.config;

import org.magnoliapick.lib.TargetKind;

/**
 * The settings of a model or a plain service.
 *
 * @param name the name that callers use in requests
 * @param kind whether the target is a model or a plain service
 * @param maxConcurrentPerUpstream the maximum number of concurrent requests per upstream
 * @param firstTokenTargetMillis the target time to the first token of a model or to the response of
 *     a service, in milliseconds
 * @param tokenGapTargetMillis the target time between tokens, in milliseconds; defaults to 0 for a
 *     service
 */
public record TargetConfig(
        String name,
        TargetKind kind,
        int maxConcurrentPerUpstream,
        long firstTokenTargetMillis,
        long tokenGapTargetMillis) {
    /** The target time to the first token if none is set, in milliseconds. */
    public static final long DEFAULT_FIRST_TOKEN_TARGET_MILLIS = 1_800;

    /** The target time between tokens of a model if none is set, in milliseconds. */
    public static final long DEFAULT_TOKEN_GAP_TARGET_MILLIS = 40;

    /** The maximum number of concurrent requests per upstream if none is set. */
    public static final int DEFAULT_MAX_CONCURRENT = 64;
}
