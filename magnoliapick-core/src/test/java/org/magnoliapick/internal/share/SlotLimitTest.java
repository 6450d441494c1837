package org.magnoliapick.internal.share;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.LoadReport;

final class SlotLimitTest {
    private final SlotLimit mLimit = new SlotLimit();

    private void report(long takenMillis, int running, int waiting) {
        mLimit.applyReport(new LoadReport(takenMillis, running, waiting, 16, 0), takenMillis + 50);
    }

    @Test
    void startsAtTheBatchSizeOfTheFirstReport() {
        mLimit.setBounds(64, 40);
        report(100, 2, 0);
        assertThat(mLimit.limit(150)).isEqualTo(16);
    }

    @Test
    void lowersWhileTheUpstreamQueuesAndRaisesWhileItsBatchIsFull() {
        mLimit.setBounds(64, 40);
        report(100, 2, 0);
        report(200, 12, 4);
        assertThat(mLimit.limit(250)).isEqualTo(12);
        report(400, 12, 0);
        assertThat(mLimit.limit(450)).isEqualTo(13);
    }

    @Test
    void ignoresAReportTakenBeforeTheLastChange() {
        mLimit.setBounds(64, 40);
        report(100, 2, 0);
        report(200, 12, 4);
        report(240, 10, 6);
        assertThat(mLimit.limit(300)).isEqualTo(12);
    }

    @Test
    void lowersWhenTheTokenGapIsTooLong() {
        mLimit.setBounds(64, 40);
        report(100, 2, 0);
        mLimit.observeGap(60, 2_000);
        assertThat(mLimit.limit(2_000)).isEqualTo(15);
        mLimit.observeGap(Double.NaN, 4_000);
        assertThat(mLimit.limit(4_000)).isEqualTo(15);
    }

    @Test
    void halvesWhenReportsStop() {
        mLimit.setBounds(64, 40);
        report(100, 2, 0);
        assertThat(mLimit.limit(6_000)).isEqualTo(8);
    }

    @Test
    void ejectsAfterRepeatedFailuresAndReturnsBySlowStart() {
        Ejection ejection = new Ejection();
        for (int i = 0; i < 4; i++) {
            assertThat(ejection.recordEnd(AttemptOutcome.FAILED, 0)).isFalse();
        }
        assertThat(ejection.recordEnd(AttemptOutcome.FAILED, 0)).isTrue();
        assertThat(ejection.isEjected(999)).isTrue();
        assertThat(ejection.isEjected(1_000)).isFalse();
        assertThat(ejection.slotFactor(2_000)).isEqualTo(0.5);
        assertThat(ejection.slotFactor(3_000)).isEqualTo(1);
    }
}
