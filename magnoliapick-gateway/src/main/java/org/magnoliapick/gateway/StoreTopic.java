package org.magnoliapick.gateway;

/** The topics of the store that the gateway reads. */
public enum StoreTopic {
    /** The operator's configuration. */
    CONFIG,
    /** The list of upstreams. */
    UPSTREAMS
}
