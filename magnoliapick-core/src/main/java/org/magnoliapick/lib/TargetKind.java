package org.magnoliapick.lib;

/** What a target is, and so how its service is charged. */
public enum TargetKind {
    /** A model: charged by tokens. */
    MODEL,
    /** A plain service: charged by the milliseconds that a worker was held. */
    SERVICE
}
