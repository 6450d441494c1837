package org.magnoliapick.pool;

import java.util.Locale;

/**
 * A change in what is known of leaving upstreams, for the log.
 *
 * @param kind what changed
 * @param upstream the upstream
 * @param evidence the request whose response stated it, or the instance that reported it
 */
public record LeavingChange(Kind kind, LeavingUpstream upstream, String evidence) {
    /** The kinds of changes. */
    public enum Kind {
        /** The upstream stated that it is leaving. */
        LEAVING,
        /** The upstream has not existed for so long that the statement is forgotten. */
        LEAVING_FORGOTTEN
    }

    /** Returns the name used in log lines. */
    public String logName() {
        return "upstream." + kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
