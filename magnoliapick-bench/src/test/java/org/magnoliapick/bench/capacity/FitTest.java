package org.magnoliapick.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class FitTest {
    @Test
    void pointsOnALineGiveTheLineWithoutError() {
        Fit fit =
                Fit.of(
                        List.of(
                                new Fit.Point(1, 5),
                                new Fit.Point(2, 7),
                                new Fit.Point(4, 11),
                                new Fit.Point(8, 19)));

        assertThat(fit.slope()).isEqualTo(2, within(1e-9));
        assertThat(fit.at(100)).isEqualTo(203, within(1e-9));
        assertThat(fit.errorRatio()).isEqualTo(0, within(1e-9));
    }
}
