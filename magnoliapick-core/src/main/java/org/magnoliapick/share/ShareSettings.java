package org.magnoliapick.share;

import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;

/**
 * Settings of a {@link ShareNode}.
 *
 * @param self the name of the instance
 * @param incarnation the start time of the instance's process, in milliseconds since the epoch
 * @param domain the failure domain of the instance
 * @param seed the seed of all pseudo-random choices
 * @param maxQueuedRequests the maximum number of requests that may wait in the instance
 * @param tickIntervalMillis the interval between two ticks, in milliseconds
 * @param reportIntervalMillis the interval between two full demand reports, in milliseconds
 * @param exchangeIntervalMillis the interval between two exchanges of attained service between
 *     dispatchers, in milliseconds; longer with many peers
 * @param dispatcherTimeoutMillis the time without a message from a dispatcher after which its
 *     standing credits expire and, if a demand is unanswered, the instance falls back to its static
 *     share
 * @param grantTimeoutMillis the time after which the slot of an unacknowledged grant is reclaimed
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
    private static final long DEFAULT_TICK_INTERVAL_MILLIS = 10;
    private static final long DEFAULT_REPORT_INTERVAL_MILLIS = 1_000;
    private static final long DEFAULT_EXCHANGE_INTERVAL_MILLIS = 200;
    private static final long DEFAULT_DISPATCHER_TIMEOUT_MILLIS = 1_500;
    private static final long DEFAULT_GRANT_TIMEOUT_MILLIS = 1_000;

    /**
     * Creates settings.
     *
     * @throws IllegalArgumentException if {@code maxQueuedRequests} or the tick interval is less
     *     than 1, if another interval or the grant timeout is shorter than the tick interval, or if
     *     the dispatcher timeout is shorter than the report interval
     */
    public ShareSettings {
        if (maxQueuedRequests < 1
                || tickIntervalMillis < 1
                || reportIntervalMillis < tickIntervalMillis
                || exchangeIntervalMillis < tickIntervalMillis
                || dispatcherTimeoutMillis < reportIntervalMillis
                || grantTimeoutMillis < tickIntervalMillis) {
            throw new IllegalArgumentException(
                    "Invalid share settings: maxQueuedRequests and tickIntervalMillis must be at"
                            + " least 1; reportIntervalMillis, exchangeIntervalMillis and"
                            + " grantTimeoutMillis must be at least tickIntervalMillis;"
                            + " dispatcherTimeoutMillis must be at least reportIntervalMillis");
        }
    }

    /** Returns settings with the default limits, intervals and timeouts. */
    public static ShareSettings defaults(
            InstanceId self, long incarnation, FailureDomain domain, long seed) {
        return new ShareSettings(
                self,
                incarnation,
                domain,
                seed,
                DEFAULT_MAX_QUEUED_REQUESTS,
                DEFAULT_TICK_INTERVAL_MILLIS,
                DEFAULT_REPORT_INTERVAL_MILLIS,
                DEFAULT_EXCHANGE_INTERVAL_MILLIS,
                DEFAULT_DISPATCHER_TIMEOUT_MILLIS,
                DEFAULT_GRANT_TIMEOUT_MILLIS);
    }
}
