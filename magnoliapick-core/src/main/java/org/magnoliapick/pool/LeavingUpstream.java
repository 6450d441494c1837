package org.magnoliapick.pool;

import org.magnoliapick.lib.UpstreamIncarnation;

/**
 * An upstream that stated in a response that it is leaving.
 *
 * @param incarnation which incarnation of which upstream
 * @param seenMillis when it was last known to exist, by this instance's clock
 */
public record LeavingUpstream(UpstreamIncarnation incarnation, long seenMillis) {}
