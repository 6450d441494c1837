package org.magnoliapick.order;

import org.magnoliapick.lib.UpstreamId;

/** An action that an {@link OrderPlanner} requires of its process. */
public sealed interface OrderAction {
    /**
     * Reads the state of an engine.
     *
     * @param upstream the engine
     */
    record ReadState(UpstreamId upstream) implements OrderAction {}

    /**
     * Sends an order, unless {@code validUntilMillis} has passed before it is sent.
     *
     * @param upstream the engine
     * @param kind the kind of the order
     * @param subject the model version, the adapter or the role
     * @param fencingNumber the fencing number, which some engines check
     * @param validUntilMillis the time from which the order must not be sent any more, in
     *     milliseconds since the epoch
     */
    record SendOrder(
            UpstreamId upstream,
            OrderKind kind,
            String subject,
            long fencingNumber,
            long validUntilMillis)
            implements OrderAction {}
}
