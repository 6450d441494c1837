package org.magnoliapick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class CallerPatienceTest {
    private final CallerWaitEstimate mPatience = new CallerWaitEstimate();

    private long elapsed(long leftMillis) {
        return mPatience.elapsedMillis("r", OptionalLong.of(leftMillis));
    }

    @Test
    void tellsReturnsByTheTimeThatIsGone() {
        assertThat(elapsed(10_000)).isZero();
        assertThat(elapsed(9_900)).isZero();
        assertThat(elapsed(8_000)).isEqualTo(2_000);
    }

    @Test
    void takesACallerThatSaysNothingForNew() {
        assertThat(mPatience.elapsedMillis("r", OptionalLong.empty())).isZero();
    }
}
