package org.magnoliapick.lib;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ChangeLogTest {
    private final ChangeLog<Integer> mLog = new ChangeLog<>();

    private List<Integer> receive(long known) {
        return mLog.since(known).map(ChangeLog.Changes::keys).orElse(List.of());
    }

    @Test
    void returnsTheChangesAfterAVersion() {
        assertThat(mLog.since(0)).isEmpty();
        mLog.changed(7);
        mLog.changed(8);
        assertThat(receive(0)).containsExactly(7, 8);
        assertThat(receive(1)).containsExactly(8);
        assertThat(mLog.since(2)).isEmpty();
        mLog.changed(7);
        assertThat(receive(0)).containsExactly(8, 7);
        assertThat(receive(2)).containsExactly(7);
        mLog.removed(7);
        assertThat(mLog.since(2)).contains(new ChangeLog.Changes<>(3, List.of()));
    }

    @Test
    void returnsAllChangesInSeveralParts() {
        for (int i = 0; i < 100; i++) {
            mLog.changed(i);
        }
        List<Integer> received = new ArrayList<>();
        long known = 0;
        for (Optional<ChangeLog.Changes<Integer>> part = mLog.since(known);
                part.isPresent();
                part = mLog.since(known)) {
            received.addAll(part.get().keys());
            known = part.get().version();
        }
        assertThat(received).hasSize(100).doesNotHaveDuplicates();
        assertThat(known).isEqualTo(100);
    }

    @Test
    void startsAnewIfTheOtherInstanceKnowsAnEarlierIncarnation() {
        mLog.changed(7);
        assertThat(receive(50)).containsExactly(7);
    }
}
