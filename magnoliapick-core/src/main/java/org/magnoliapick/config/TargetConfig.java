package org.magnoliapick.config;

import org.magnoliapick.lib.TargetKind;

/**
 * The settings of a model or a plain service.
 *
 * @param name its name, as callers write it
 * @param kind whether it is a model or a plain service
 * @param maxConcurrentPerUpstream the most requests that one upstream may run at once
 * @param firstTokenTargetMillis the wanted time to the first token, or to the answer of a service
 * @param tokenGapTargetMillis the wanted time between tokens; 0 for a service
 */
public record TargetConfig(
        String name,
        TargetKind kind,
        int maxConcurrentPerUpstream,
        long firstTokenTargetMillis,
        long tokenGapTargetMillis) {
    /** The wanted time to the first token where none is set, in milliseconds. */
    public static final long DEFAULT_FIRST_TOKEN_TARGET_MILLIS = 1_800;

    /** The wanted time between tokens where none is set, in milliseconds. */
    public static final long DEFAULT_TOKEN_GAP_TARGET_MILLIS = 40;

    /** The most requests at one upstream where none is set. */
    public static final int DEFAULT_MAX_CONCURRENT = 64;
}
