package org.magnoliapick.order;

import java.util.List;

/**
 * What is to be done for a pool now.
 *
 * @param step where this instance stands
 * @param actions what to do
 */
public record PoolPlan(OrderStep step, List<OrderAction> actions) {
    /** Copies the actions. */
    public PoolPlan {
        actions = List.copyOf(actions);
    }

    static PoolPlan of(OrderStep step) {
        return new PoolPlan(step, List.of());
    }
}
