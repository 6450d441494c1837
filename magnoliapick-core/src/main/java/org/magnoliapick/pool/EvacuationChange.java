package org.magnoliapick.pool;

import java.util.Locale;

/**
 * A change in which failure domains are evacuated, for the log.
 *
 * @param kind what changed
 * @param evacuation the state of the domain
 * @param evidence what it was learned from
 */
public record EvacuationChange(Kind kind, DomainEvacuation evacuation, String evidence) {
    /** The kinds of changes. */
    public enum Kind {
        /** The upstreams of the domain get nothing more. */
        EVACUATED,
        /** The upstreams of the domain may be used again. */
        RESTORED,
        /** The state is not kept, because too many domains are evacuated. */
        IGNORED
    }

    /** Returns the name used in log lines. */
    public String logName() {
        return "domain." + kind.name().toLowerCase(Locale.ROOT);
    }
}
