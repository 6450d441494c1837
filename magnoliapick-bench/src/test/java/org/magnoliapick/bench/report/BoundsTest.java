package org.magnoliapick.bench.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.magnoliapick.bench.driver.ControlCost;

class BoundsTest {
    @Test
    void rowAtEachBoundMissesNothing() {
        PolicyRow row = row(150, 0.97, 17_000, OptionalDouble.of(5), 0);

        assertThat(Bounds.misses(row)).isEmpty();
    }

    @Test
    void rowBeyondEachBoundMissesAll() {
        PolicyRow row = row(2_101, 0.969, 17_001, OptionalDouble.empty(), 1);

        assertThat(Bounds.misses(row))
                .containsExactly(
                        "MISS s p seed 1: gift gap is 2101, target <= 2100",
                        "MISS s p seed 1: gift gap against the ideal is 2101, target <= 150",
                        "MISS s p seed 1: gift utilisation is 0.9690, target >= 0.9700",
                        "MISS s p seed 1: control bytes a second is 17001, target <= 17000",
                        "MISS s p seed 1: cut gift gap recovery seconds is never, target <= 5.0000",
                        "MISS s p seed 1: starts at a leaving upstream is 1.0000,"
                                + " target <= 0.0000");
    }

    private static PolicyRow row(
            double gap, double utilisation, double bytes, OptionalDouble recovery, long starts) {
        TargetRow target = new TargetRow("gift", gap, 50, 1, 1_000, 2_100, 100, utilisation, 1);
        RecoveryRow back = new RecoveryRow("cut", "gift", recovery, OptionalDouble.of(0));
        ControlCost control = new ControlCost(1, OptionalDouble.of(1), 1, OptionalDouble.of(bytes));
        return new PolicyRow(
                "s", "p", 1, 0, 0, 0, starts, control, List.of(target), List.of(), List.of(back));
    }
}
