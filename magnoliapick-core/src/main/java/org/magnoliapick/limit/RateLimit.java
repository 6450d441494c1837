package org.magnoliapick.limit;

import java.util.OptionalDouble;
import org.magnoliapick.lib.UpstreamId;

/**
 * What an upstream last stated about its rate limit.
 *
 * @param upstream the upstream
 * @param startedMillis when that incarnation of the upstream started
 * @param perSecond the requests per second that it takes from all instances together; absent if it
 *     no longer limits them
 * @param seenMillis when the statement was received, by this instance's clock
 */
public record RateLimit(
        UpstreamId upstream, long startedMillis, OptionalDouble perSecond, long seenMillis) {}
