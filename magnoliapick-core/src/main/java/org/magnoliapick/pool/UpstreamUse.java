package org.magnoliapick.pool;

import org.magnoliapick.lib.UpstreamId;

/**
 * One instance's use of an upstream.
 *
 * @param upstream the upstream
 * @param running number of requests in flight
 * @param prefillTokens prompt tokens of requests that were sent and have no first event yet
 * @param memoryTokens memory that its requests may fill, in tokens
 * @param tokensPerMilli the prefill speed that it measured, in tokens per millisecond; 0 if it
 *     measured none
 * @param starts number of requests that it decided to send there since the upstream was
 *     rate-limited; decisions of its dispatcher are not included
 */
public record UpstreamUse(
        UpstreamId upstream,
        int running,
        long prefillTokens,
        long memoryTokens,
        int tokensPerMilli,
        long starts) {}
