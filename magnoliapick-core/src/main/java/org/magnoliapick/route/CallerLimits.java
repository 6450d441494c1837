package org.magnoliapick.route;

/**
 * Limits on the size and timing of caller requests.
 *
 * @param maxHeaderBytes maximum size of a request head (request line and headers)
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMillis maximum time for a complete request head to arrive
 * @param idleTimeoutMillis maximum time that a connection may stay open without a request
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits until a configuration is loaded: small heads and bodies, 10 s for a head. */
    public static final CallerLimits INITIAL =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, 10_000, 60_000);
}
