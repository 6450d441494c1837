package org.magnoliapick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class FleetRetryBudgetTest {
    private static int allowed(FleetRetryBudget budget, long nowMillis) {
        int allowed = 0;
        while (budget.tryRetry("s", nowMillis)) {
            allowed++;
        }
        return allowed;
    }

    @Property(tries = 50, seed = "1")
    void sharesDoNotExceedTheTotal(@ForAll @IntRange(min = 1, max = 12) int instances) {
        int sum = 0;
        for (int i = 0; i < instances; i++) {
            sum += allowed(new FleetRetryBudget(0.2, 54, 10_000, 12), 5_000);
        }
        assertThat(sum).isLessThanOrEqualTo(54);
    }

    @Test
    void sharesDoNotGrowWhenPartOfALargeFleetIsCutOff() {
        int sum = 0;
        for (int i = 0; i < 87; i++) {
            FleetRetryBudget budget = new FleetRetryBudget(0.2, 214, 10_000, 12);
            budget.updateFleetSize(87);
            budget.updateFleetSize(3);
            sum += allowed(budget, 5_000);
        }
        assertThat(sum).isLessThanOrEqualTo(214);
    }

    @Test
    void growsWithRequestsInTheSlidingWindow() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 0, 10_000, 1);
        for (int i = 0; i < 100; i++) {
            budget.countRequest("s", 0);
        }
        assertThat(allowed(budget, 0)).isBetween(1, 20);
        assertThat(allowed(budget, 9_000)).isZero();
        assertThat(allowed(budget, 20_000)).isZero();
    }

    @Test
    void countsServicesSeparately() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 12, 10_000, 1);
        allowed(budget, 0);
        assertThat(budget.tryRetry("other", 0)).isTrue();
    }

    /** Guards against a budget that is whole again after each reload of the settings. */
    @Test
    void keepsCountsWhenTheSettingsAreReplaced() {
        FleetRetryBudget former = new FleetRetryBudget(0.2, 12, 10_000, 1);
        assertThat(allowed(former, 5_000)).isPositive();
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 12, 10_000, 1);
        budget.adopt(former);
        assertThat(allowed(budget, 5_000)).isZero();
    }
}
