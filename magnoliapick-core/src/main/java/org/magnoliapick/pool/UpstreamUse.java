package org.magnoliapick.pool;

import org.magnoliapick.lib.UpstreamId;

/**
 * What one instance has at an upstream.
 *
 * @param upstream the upstream
 * @param running requests under way
 * @param prefillTokens prompt tokens that are sent and not yet answered with a first event
 * @param memoryTokens tokens of memory that its requests may fill
 * @param tokensPerMilli the speed at which it saw the upstream read; 0 if it did not
 */
public record UpstreamUse(
        UpstreamId upstream,
        int running,
        long prefillTokens,
        long memoryTokens,
        int tokensPerMilli) {}
