package org.magnoliapick.admin;

import java.time.Duration;

/**
 * How a follower reads the log.
 *
 * @param instance the name of this instance
 * @param pageEntries the most entries of one read
 * @param pollWait how long a read may wait for a first entry
 * @param appendTimeout how long an append may take
 * @param retention how long the log keeps entries
 * @param gapGrace how long entries may be missing before this instance sets the configuration anew
 */
public record FollowerOptions(
        String instance,
        int pageEntries,
        Duration pollWait,
        Duration appendTimeout,
        Duration retention,
        Duration gapGrace) {
    private static final int DEFAULT_PAGE_ENTRIES = 500;
    private static final Duration DEFAULT_POLL_WAIT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_APPEND_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEFAULT_GAP_GRACE = Duration.ofSeconds(30);

    /** Creates options with the usual times. */
    public static FollowerOptions of(String instance, Duration retention) {
        return new FollowerOptions(
                instance,
                DEFAULT_PAGE_ENTRIES,
                DEFAULT_POLL_WAIT,
                DEFAULT_APPEND_TIMEOUT,
                retention,
                DEFAULT_GAP_GRACE);
    }
}
