package org.magnoliapick.share;

import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;

/**
 * The settings of one {@link ShareNode}.
 *
 * @param self the name of the instance
 * @param incarnation the start of its process in milliseconds since the epoch
 * @param domain its failure domain
 * @param seed the seed of everything that is spread by chance
 * @param maxQueuedRequests the most requests that may wait in the instance
 * @param tickIntervalMillis the distance between two ticks, in milliseconds
 * @param reportIntervalMillis the distance between two whole demand reports, in milliseconds
 * @param exchangeIntervalMillis the distance between two exchanges of attained service, in milliseconds
 * @param dispatcherTimeoutMillis how long a dispatcher may be silent before its pool falls back
 * @param grantTimeoutMillis how long a grant may stay unanswered before its slot is taken back
 */
public record ShareSettings(
        InstanceId self,
        long incarnation,
        FailureDomain domain,
        long seed,
        int maxQueuedRequests,
        long tickIntervalMillis,
        long reportIntervalMillis,
        long exchangeIntervalMillis,
        long dispatcherTimeoutMillis,
        long grantTimeoutMillis) {
    private static final int DEFAULT_MAX_QUEUED_REQUESTS = 2_000;
    private static final long DEFAULT_TICK_MILLIS = 10;
    private static final long DEFAULT_REPORT_MILLIS = 1_000;
    private static final long DEFAULT_EXCHANGE_MILLIS = 200;
    private static final long DEFAULT_SILENCE_MILLIS = 1_500;
    private static final long DEFAULT_GRANT_MILLIS = 1_000;

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a bound or a time is not positive
     */
    public ShareSettings {
        if (maxQueuedRequests < 1
                || tickIntervalMillis < 1
                || reportIntervalMillis < tickIntervalMillis
                || exchangeIntervalMillis < tickIntervalMillis
                || dispatcherTimeoutMillis < reportIntervalMillis
                || grantTimeoutMillis < tickIntervalMillis) {
            throw new IllegalArgumentException("A bound or time of the shares makes no sense");
        }
    }

    /** Returns settings with the usual bounds and times. */
    public static ShareSettings defaults(
            InstanceId self, long incarnation, FailureDomain domain, long seed) {
        return new ShareSettings(
                self,
                incarnation,
                domain,
                seed,
                DEFAULT_MAX_QUEUED_REQUESTS,
                DEFAULT_TICK_MILLIS,
                DEFAULT_REPORT_MILLIS,
                DEFAULT_EXCHANGE_MILLIS,
                DEFAULT_SILENCE_MILLIS,
                DEFAULT_GRANT_MILLIS);
    }
}
