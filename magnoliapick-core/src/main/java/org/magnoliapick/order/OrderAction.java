package org.magnoliapick.order;

import org.magnoliapick.lib.UpstreamId;

/** What an {@link OrderPlanner} asks its process to do. */
public sealed interface OrderAction {
    /**
     * Read what an engine holds.
     *
     * @param upstream the engine
     */
    record ReadState(UpstreamId upstream) implements OrderAction {}

    /**
     * Give an order, unless the time given has passed when it is about to be sent.
     *
     * @param upstream the engine
     * @param kind what to do
     * @param subject the model version, the adapter or the role
     * @param fencingNumber the number that the engine may check
     * @param validUntilMillis when the order must no longer be sent, in milliseconds since the
     *     epoch
     */
    record SendOrder(
            UpstreamId upstream,
            OrderKind kind,
            String subject,
            long fencingNumber,
            long validUntilMillis)
            implements OrderAction {}
}
