package org.magnoliapick.lib;

import java.util.Locale;
import java.util.Optional;

/** Orders the requests inside one workspace. A class never moves service between workspaces. */
public enum RequestClass {
    /** Confirmations, pairings, look-ups and status checks: a person waits for them. */
    URGENT(0),
    /** Summaries, suggestions and price lines. */
    STANDARD(10_000),
    /** Full drafts and layouts, which may wait. */
    BULK(60_000);

    private final long mHandicapMillis;

    RequestClass(long handicapMillis) {
        mHandicapMillis = handicapMillis;
    }

    /**
     * Returns the head start in milliseconds that an urgent request has over this class. A request
     * that has waited longer than its handicap comes before an urgent one that arrives now.
     */
    public long rankDelayMillis() {
        return mHandicapMillis;
    }

    /** Returns the name used in headers and settings. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds the class of a name used in headers and settings. */
    public static Optional<RequestClass> ofWireName(String name) {
        for (RequestClass candidate : values()) {
            if (candidate.wireName().equals(name)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
