package org.magnoliapick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class StopPlanTest {
    private final StopPlan mPlan = new StopPlan(1_000, 8_000);

    @Test
    void acceptsRequestsUntilTheLoadBalancerHasDetectedTheShutdown() {
        assertThat(mPlan.acceptsRequests(3_100)).isTrue();
    }

    /** A request accepted 3.13 s after the stop began was cut off at the end of the shutdown. */
    @Test
    void refusesRequestsFromThreeSecondsAfterTheStopBegan() {
        assertThat(mPlan.acceptsRequests(4_000)).isFalse();
        assertThat(mPlan.acceptsRequests(4_130)).isFalse();
    }

    @Test
    void closesBeforeTheGracePeriodEnds() {
        assertThat(mPlan.mustClose(8_500)).isFalse();
        assertThat(mPlan.mustClose(8_900)).isTrue();
    }

    @Test
    void shortGracePeriodLeavesTimeForAcceptedRequests() {
        assertThat(new StopPlan(0, 1_000).acceptsRequests(500)).isFalse();
    }
}
