package org.magnoliapick.member;

/** The subjects on which instances send each other versioned updates. */
public enum UpdateSubject {
    /** The upstreams that stated that they are leaving. */
    LEAVING,
    /** The pauses that upstreams asked the sender for. */
    PAUSES
}
