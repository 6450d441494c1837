package org.magnoliapick.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.pool.InstanceReport;

final class PeerTableTest {
    private static final FailureDomain HERE = new FailureDomain("a");
    private static final InstanceId SELF = new InstanceId("self");

    private final PeerTable mTable = new PeerTable(HERE, "1:1", List.of("2:1", "1:1"), 0);

    private static InstanceReport report(String name, String address, long started, long number) {
        return new InstanceReport(
                new InstanceId(name), HERE, address, started, number, List.of(), List.of("3:1"));
    }

    @Test
    void tellsSeedsNowAndThenAndNeverItself() {
        assertThat(mTable.due(0)).containsExactly("2:1");
        assertThat(mTable.due(500)).isEmpty();
        assertThat(mTable.due(1_000)).containsExactly("2:1");
    }

    @Test
    void learnsOthersFromReports() {
        mTable.heard(report("b", "2:1", 5, 1), 10);
        assertThat(mTable.due(10)).containsExactlyInAnyOrder("2:1", "3:1");
    }

    @Test
    void takesOnlyNewsOfALife() {
        assertThat(mTable.heard(report("b", "2:1", 5, 2), 10)).isTrue();
        assertThat(mTable.heard(report("b", "2:1", 5, 1), 11)).isFalse();
        assertThat(mTable.heard(report("b", "2:1", 6, 1), 12)).isTrue();
    }

    @Test
    void namesAnotherDispatcherWhenOneFallsSilent() {
        for (int i = 0; i < 8; i++) {
            mTable.heard(report("n" + i, "2:" + (i + 2), 5, 1), 0);
        }
        InstanceId before = mTable.dispatcher(SELF, "s", 100);
        assertThat(mTable.dispatcher(SELF, "s", 200)).isEqualTo(before);
        assertThat(mTable.dispatcher(SELF, "s", 1_000)).isEqualTo(SELF);
    }
}
