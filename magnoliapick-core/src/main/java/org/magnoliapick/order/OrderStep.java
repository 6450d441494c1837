package org.magnoliapick.order;

/** Where an instance stands with the orders of a pool. */
public enum OrderStep {
    /** Another instance gives the orders. */
    WATCHING,
    /** This instance has just taken over and waits until the fleet agrees on it. */
    SETTLING,
    /** What an engine holds must be read again. */
    READING,
    /** The next order must wait: for the log, the pace of changes, or the weight store's rate. */
    WAITING,
    /** An order is to be given now. */
    ORDERING,
    /** A newer setting than the one known here was seen at an engine. */
    OUTDATED,
    /** Every engine holds what the settings want. */
    IN_FORCE
}
