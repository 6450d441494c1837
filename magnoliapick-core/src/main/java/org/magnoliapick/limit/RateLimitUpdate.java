package org.magnoliapick.limit;

import java.util.List;

/**
 * The rate limits that changed at the sender since a version.
 *
 * @param version the sender's version that the receiver knows afterwards
 * @param limits the limits that changed
 */
public record RateLimitUpdate(long version, List<RateLimit> limits) {
    /** Copies the list. */
    public RateLimitUpdate {
        limits = List.copyOf(limits);
    }
}
