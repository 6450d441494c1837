package org.magnoliapick.limit;

import org.magnoliapick.lib.UpstreamIncarnation;

/**
 * The time for which an upstream wants no requests of one instance.
 *
 * @param incarnation which incarnation of which upstream
 * @param endMillis the end of the pause, by this instance's clock
 */
public record UpstreamPause(UpstreamIncarnation incarnation, long endMillis) {}
