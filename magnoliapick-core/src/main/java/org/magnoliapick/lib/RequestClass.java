package org.magnoliapick.lib;

import java.util.Locale;
import java.util.Optional;

/**
 * The priority class of a request. It orders the requests within one workspace and does not affect
 * the shares of workspaces.
 */
public enum RequestClass {
    /** Confirmations, pairings, look-ups and status checks, for which a person waits. */
    URGENT(0),
    /** Summaries, suggestions and price lines. */
    STANDARD(10_000),
    /** Full drafts and layouts, which may be delayed. */
    BULK(60_000);

    private final long mRankDelayMillis;

    RequestClass(long rankDelayMillis) {
        mRankDelayMillis = rankDelayMillis;
    }

    /**
     * Returns the delay, in milliseconds, that is added to the arrival time of a request of this
     * class to rank it. A request that has waited longer than this delay ranks before an urgent
     * request that arrives now.
     */
    public long rankDelayMillis() {
        return mRankDelayMillis;
    }

    /** Returns the name used in headers and settings. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the class with the given name in headers and settings; empty if there is none. */
    public static Optional<RequestClass> ofWireName(String name) {
        for (RequestClass candidate : values()) {
            if (candidate.wireName().equals(name)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
