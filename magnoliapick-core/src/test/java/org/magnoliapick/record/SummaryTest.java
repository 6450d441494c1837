package org.magnoliapick.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.Objective;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.WorkspaceId;

final class SummaryTest {
    private static final InstanceId INSTANCE = new InstanceId("router-1");
    private static final Objective FAST =
            new Objective(Optional.of(500L), Optional.empty(), Optional.empty(), 0.9);
    private static final FleetConfig CONFIG =
            new FleetConfig(
                    3,
                    Map.of("muscat", 2.0),
                    Map.of(
                            Decisions.CAFE, workspace(Decisions.CAFE, 1),
                            Decisions.SOUQ, workspace(Decisions.SOUQ, 3)),
                    Map.of(),
                    Map.of(Decisions.CAFE, Map.of(RequestClass.URGENT, FAST)),
                    Map.of(),
                    List.of(),
                    Set.of());

    private final SummaryBuilder mBuilder = new SummaryBuilder(INSTANCE, 0);

    @Test
    void splitsWaitingTimeByCauseAndWorkspaceAhead() {
        mBuilder.add(Decisions.admitted(100, Decisions.CAFE), CONFIG);
        mBuilder.add(Decisions.waited(1_000, Decisions.CAFE, 900), CONFIG);
        mBuilder.add(Decisions.waited(1_500, Decisions.CAFE, 700), CONFIG);
        mBuilder.add(Decisions.refused(1_600, Decisions.CAFE), CONFIG);
        mBuilder.add(Decisions.ended(2_000, Decisions.CAFE, 1_900, 30), CONFIG);

        WorkspaceSummary cafe = roll().workspaces().get(Decisions.CAFE);
        assertThat(cafe.waitedMillis()).isEqualTo(Map.of(Cause.BEHIND_WORKSPACE, 1_600L));
        assertThat(cafe.aheadMillis()).isEqualTo(Map.of(Decisions.SOUQ, 1_600L));
        assertThat(cafe.backlogged()).containsExactly(new TimeRange(100, 1_500));
        assertThat(cafe.refused()).isEqualTo(Map.of(Cause.WORKSPACE_QUEUE_FULL, 1L));
        assertThat(cafe.levels().get(RequestClass.URGENT).late()).isEqualTo(1);
        assertThat(WorkspaceExplanation.of(Decisions.CAFE, cafe, 0).sentences())
                .contains(
                        "souq was ahead for 1600 ms: it had received less service for its weight.");
    }

    @Test
    void batchRoundTripsThroughJson() {
        mBuilder.add(Decisions.waited(1_000, Decisions.CAFE, 900), CONFIG);
        mBuilder.add(Decisions.ended(2_000, Decisions.SOUQ, 100, 12.5), CONFIG);
        mBuilder.add(Decisions.ended(2_000, Decisions.CAFE, 600, 12.5), CONFIG);
        SummaryBatch batch = roll();
        assertThat(SummaryBatch.decode(batch.encode())).contains(batch);
    }

    @Property(tries = 500, seed = "7406")
    void decodingArbitraryBytesReturnsEmpty(@ForAll byte[] bytes) {
        assertThat(SummaryBatch.decode(bytes)).isEmpty();
    }

    @Test
    void countsDuplicateBatchOnce() {
        mBuilder.add(Decisions.admitted(1_000, Decisions.CAFE), CONFIG);
        SummaryBatch batch = roll();
        SummaryHistory history = new SummaryHistory();
        history.add(batch);
        history.add(batch);
        assertThat(history.summary(Decisions.CAFE, 0).admitted()).isEqualTo(1);
        history.expire(SummaryHistory.RETENTION_MILLIS + SummaryBuilder.WINDOW_MILLIS);
        assertThat(history.since(0)).isEmpty();
    }

    @Test
    void comparisonNormalisesServiceByWeightWhileBothWait() {
        mBuilder.add(Decisions.waited(1_000, Decisions.CAFE, 900), CONFIG);
        mBuilder.add(Decisions.waited(1_200, Decisions.SOUQ, 900), CONFIG);
        mBuilder.add(Decisions.ended(1_300, Decisions.CAFE, 100, 10), CONFIG);
        mBuilder.add(Decisions.ended(1_300, Decisions.SOUQ, 100, 33), CONFIG);
        List<FleetWindow> windows = FleetWindow.of(List.of(roll()));

        WorkspaceComparison comparison =
                WorkspaceComparison.of(Decisions.CAFE, Decisions.SOUQ, windows, CONFIG);
        assertThat(comparison.commonMillis()).isEqualTo(700);
        assertThat(comparison.left().normalisedUnits()).isEqualTo(10 / 0.5);
        assertThat(comparison.right().normalisedUnits()).isEqualTo(33 / 1.5);
        assertThat(comparison.gapUnits()).isEqualTo(-2);
    }

    @Test
    void burnRateIsOneWhenBudgetIsExactlyUsedUp() {
        long nowMillis = SummaryHistory.RETENTION_MILLIS;
        SummaryBuilder builder = new SummaryBuilder(INSTANCE, nowMillis - 1);
        for (int i = 0; i < 10; i++) {
            long latencyMillis = i == 0 ? 900 : 100;
            builder.add(Decisions.ended(nowMillis - 1, Decisions.CAFE, latencyMillis, 1), CONFIG);
        }
        List<FleetWindow> windows = FleetWindow.of(List.of(builder.currentBatch(3)));
        BurnReport report = new BurnCalculator(windows, CONFIG, nowMillis).report(List.of("r2"));

        BurnReport.Level level = report.workspaces().get(0).levels().get(0);
        assertThat(level.rates()).allSatisfy(it -> assertThat(it.rate()).isCloseTo(1, within()));
        assertThat(level.budgetLeft()).isCloseTo(0, within());
        assertThat(level.state()).isEqualTo(BurnState.OK);
        assertThat(report.unanswered()).containsExactly("r2");
        assertThat(report.workspaces().get(0).usedUnits()).last().isEqualTo(10.0);
    }

    private SummaryBatch roll() {
        return mBuilder.roll(SummaryBuilder.WINDOW_MILLIS, 3).orElseThrow();
    }

    private static WorkspaceConfig workspace(WorkspaceId id, double weight) {
        return new WorkspaceConfig(id, "muscat", weight, List.of(), 10);
    }

    private static Offset<Double> within() {
        return Offset.offset(1e-9);
    }
}
