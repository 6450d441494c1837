package org.magnoliapick.lib;

/**
 * One run of an upstream, whose identifier may stay the same after a restart.
 *
 * @param upstream the upstream
 * @param startedMillis when it started, in milliseconds since the epoch
 */
public record UpstreamIncarnation(UpstreamId upstream, long startedMillis) {}
