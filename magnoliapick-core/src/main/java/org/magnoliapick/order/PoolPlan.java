package org.magnoliapick.order;

import java.util.List;

/**
 * The actions to execute for a pool now.
 *
 * @param step the current step of this instance
 * @param actions the actions
 */
public record PoolPlan(OrderStep step, List<OrderAction> actions) {
    public PoolPlan {
        actions = List.copyOf(actions);
    }

    static PoolPlan of(OrderStep step) {
        return new PoolPlan(step, List.of());
    }
}
