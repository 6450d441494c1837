package org.magnoliapick.member;

/** The subjects on which instances send each other versioned updates. */
public enum UpdateSubject {
    /** The prompt parts that are suspected or in quarantine. */
    SUSPECTS(true),
    /** The rate limits of upstreams. */
    RATE_LIMITS(true),
    /** The upstreams that stated that they are leaving. */
    LEAVING(false),
    /** The pauses that upstreams asked the sender for. */
    PAUSES(false),
    /** The evacuated failure domains. */
    EVACUATIONS(false),
    /** The upstreams that are cold. */
    COLD(false);

    private final boolean mKnownToAll;

    UpdateSubject(boolean knownToAll) {
        mKnownToAll = knownToAll;
    }

    /**
     * Returns whether updates are sent also to instances that report no version of them. Instances
     * of a former build never report one of the other subjects.
     */
    boolean isKnownToAll() {
        return mKnownToAll;
    }
}
