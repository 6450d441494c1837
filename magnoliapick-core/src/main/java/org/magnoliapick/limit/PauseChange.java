package org.magnoliapick.limit;

import java.util.Locale;

/**
 * A change in the pauses that upstreams asked this instance for, for the log.
 *
 * @param kind what changed
 * @param pause the pause
 * @param evidence the request whose response asked for it, or why it ended
 */
public record PauseChange(Kind kind, UpstreamPause pause, String evidence) {
    /** The kinds of changes. */
    public enum Kind {
        /** The upstream asked for a pause, or a longer one. */
        PAUSED,
        /** The pause is over. */
        PAUSE_ENDED
    }

    /** Returns the name used in log lines. */
    public String logName() {
        return "upstream." + kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
