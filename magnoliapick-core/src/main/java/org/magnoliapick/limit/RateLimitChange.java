package org.magnoliapick.limit;

import java.util.Locale;
import java.util.OptionalDouble;

/**
 * A change in what is known of an upstream's rate limit, for the log.
 *
 * @param kind what changed
 * @param limit the limit after the change
 * @param beforePerSecond the limit before the change, in requests per second, if there was one
 * @param evidence the request whose response stated it, or the instance that reported it
 */
public record RateLimitChange(
        Kind kind, RateLimit limit, OptionalDouble beforePerSecond, String evidence) {
    /** The kinds of changes. */
    public enum Kind {
        /** The upstream named a limit, or another one than before. */
        RATE_LIMITED,
        /** The upstream answered without naming a limit. */
        RATE_UNLIMITED,
        /** No response of the upstream was received for too long. */
        RATE_LIMIT_EXPIRED
    }

    /** Returns the name used in log lines. */
    public String logName() {
        return "upstream." + kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
