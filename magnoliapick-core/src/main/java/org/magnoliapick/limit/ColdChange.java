package org.magnoliapick.limit;

import org.magnoliapick.lib.UpstreamIncarnation;

/**
 * The begin or the end of the cold state of an upstream, for the log.
 *
 * @param incarnation the incarnation of the upstream
 * @param cold whether the state began
 * @param forMillis how long the upstream stays cold, in milliseconds; 0 if the state ended
 * @param evidence what stated it: the list, a request whose response did, or another instance
 */
public record ColdChange(
        UpstreamIncarnation incarnation, boolean cold, long forMillis, String evidence) {
    /** Returns the name used in log lines. */
    public String logName() {
        return cold ? "upstream.cold" : "upstream.warm";
    }
}
