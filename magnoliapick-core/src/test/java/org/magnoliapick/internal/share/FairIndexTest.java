package org.magnoliapick.internal.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.lib.WorkspaceId;

final class FairIndexTest {
    private static final String SEED = "4711";
    private static final WorkspaceId A = new WorkspaceId("a");
    private static final WorkspaceId B = new WorkspaceId("b");
    private static final WorkspaceId C = new WorkspaceId("c");

    private final FairIndex mIndex = new FairIndex();

    @Test
    void picksTheLeastServedWorkspace() {
        mIndex.markBacklogged(A, false);
        mIndex.markBacklogged(B, false);
        mIndex.charge(A, 10);
        assertThat(mIndex.leastServed()).contains(B);
        mIndex.setInFlight(B, 20);
        assertThat(mIndex.leastServed()).contains(A);
    }

    @Test
    void raisesAWorkspaceThatReturnsFromIdle() {
        mIndex.markBacklogged(A, false);
        mIndex.recordCost(5);
        mIndex.charge(A, 500);
        mIndex.markBacklogged(B, false);
        assertThat(mIndex.normalisedService(B)).isEqualTo(495);
    }

    @Test
    void capsTheLeadOfAWorkspace() {
        mIndex.markBacklogged(A, false);
        mIndex.markBacklogged(B, false);
        mIndex.charge(A, 1e12);
        assertThat(mIndex.normalisedService(A)).isLessThanOrEqualTo(1_000);
    }

    @Test
    void dividesTheTeamWeightAmongItsActiveWorkspaces() {
        mIndex.setConfig(
                new FleetConfig(
                        1,
                        Map.of("t", 2.0),
                        Map.of(
                                A, new WorkspaceConfig(A, "t", 1, List.of(), 10),
                                B, new WorkspaceConfig(B, "t", 3, List.of(), 10),
                                C, new WorkspaceConfig(C, "t", 9, List.of(), 10)),
                        Map.of()));
        mIndex.markBacklogged(A, false);
        assertThat(mIndex.weight(A)).isEqualTo(2.0);
        mIndex.markBacklogged(B, false);
        assertThat(mIndex.weight(A)).isEqualTo(0.5);
        assertThat(mIndex.weight(B)).isEqualTo(1.5);
        mIndex.clearBacklogged(B);
        assertThat(mIndex.weight(A)).isEqualTo(2.0);
    }

    @Property(seed = SEED, tries = 300)
    void keepsCountersInRangeForAnyCost(@ForAll List<Double> costs, @ForAll boolean inFlight) {
        mIndex.markBacklogged(A, false);
        mIndex.markBacklogged(B, false);
        for (double cost : costs) {
            mIndex.charge(A, cost);
            mIndex.recordCost(cost);
            mIndex.setInFlight(B, inFlight ? cost : 0);
        }
        for (WorkspaceId workspace : List.of(A, B)) {
            assertThat(mIndex.normalisedService(workspace)).isBetween(0.0, Units.MAX_COUNTER_UNITS);
        }
        assertThat(mIndex.backloggedCount()).isEqualTo(2);
        mIndex.setInFlight(A, 0);
        mIndex.setInFlight(B, 0);
        mIndex.clearBacklogged(A);
        mIndex.clearBacklogged(B);
        assertThat(mIndex.leastServed()).isEmpty();
    }

    @Property(seed = SEED, tries = 300)
    void usedUnitsNeverDecreaseOrLeaveTheirRange(@ForAll List<Double> reports) {
        RunningRequest running = new RunningRequest(ShareFixture.request("1", "a"), null, 400);
        double before = 0;
        for (double report : reports) {
            assertThat(running.updateUsed(report)).isGreaterThanOrEqualTo(0);
            assertThat(running.usedUnits()).isBetween(before, Units.MAX_REQUEST_UNITS);
            before = running.usedUnits();
        }
    }
}
