package org.magnoliapick.member;

/** The subjects on which instances send each other versioned updates. */
public enum UpdateSubject {
    /** The prompt parts that are suspected or in quarantine. */
    SUSPECTS,
    /** The rate limits of upstreams. */
    RATE_LIMITS,
    /** The upstreams that stated that they are leaving. */
    LEAVING,
    /** The pauses that upstreams asked the sender for. */
    PAUSES
}
