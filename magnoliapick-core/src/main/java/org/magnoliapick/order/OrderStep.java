package org.magnoliapick.order;

/** The step of an instance in the orders of a pool. */
public enum OrderStep {
    /** Another instance is responsible for the pool. */
    WATCHING,
    /** This instance has just become responsible and waits until the fleet agrees on it. */
    SETTLING,
    /** The state of an engine must be read again. */
    READING,
    /**
     * The next order must wait for a current configuration, the order in flight, the minimum
     * interval between orders, or the throughput of the weight store.
     */
    WAITING,
    /** An order must be sent now. */
    ORDERING,
    /** An engine has accepted an order that follows a newer setting than the one known here. */
    OUTDATED,
    /** Every engine has the desired state. */
    IN_FORCE
}
