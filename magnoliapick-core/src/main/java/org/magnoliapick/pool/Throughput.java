package org.magnoliapick.pool;

/**
 * What the upstreams of a pool can do together.
 *
 * @param tokensPerMilli the prompt tokens that they prefill per millisecond; 0 without engines
 * @param requestsPerMilli the requests that their rate limits let pass per millisecond; infinite if
 *     any upstream has none
 */
record Throughput(double tokensPerMilli, double requestsPerMilli) {
    /** Returns the time to start a number of requests with these prompt tokens, in milliseconds. */
    double millisFor(double tokens, double requests) {
        double prefillMillis = tokensPerMilli == 0 ? 0 : tokens / tokensPerMilli;
        double limitMillis = requestsPerMilli == 0 ? 0 : requests / requestsPerMilli;
        return Math.max(prefillMillis, limitMillis);
    }
}
