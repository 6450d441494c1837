package org.magnoliapick.route;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body of a request
 * @param headerTimeoutMillis how long the head of a request may take to arrive
 * @param idleTimeoutMillis how long a connection may carry no request
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits until a configuration is known: small heads and bodies, ten seconds. */
    public static final CallerLimits INITIAL =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, 10_000, 60_000);
}
