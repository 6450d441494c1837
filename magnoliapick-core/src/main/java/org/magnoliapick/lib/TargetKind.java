package org.magnoliapick.lib;

/** The kind of a target, which determines how its use is charged. */
public enum TargetKind {
    /** A model, charged by tokens. */
    MODEL,
    /** A plain service, charged by the milliseconds for which a worker was occupied. */
    SERVICE
}
