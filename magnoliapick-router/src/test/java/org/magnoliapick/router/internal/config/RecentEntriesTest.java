package org.magnoliapick.router.internal.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliapick.ports.LogEntry;
import org.magnoliapick.ports.LogPage;

final class RecentEntriesTest {
    private static final long NOW_MILLIS = 1_000_000;

    private final RecentEntries mRecent = new RecentEntries();

    @Test
    void servesWhatWasReadFromAnOffsetOn() {
        mRecent.took(5, page(5, 3), NOW_MILLIS);
        RelayedPage served = mRecent.serve(6, 10, NOW_MILLIS);
        assertThat(offsets(served)).containsExactly(6L, 7L);
        assertThat(served.endOffset()).isEqualTo(8);
    }

    @Test
    void servesNothingMoreToAnInstanceThatIsAhead() {
        mRecent.took(5, page(5, 3), NOW_MILLIS);
        RelayedPage served = mRecent.serve(9, 10, NOW_MILLIS);
        assertThat(served.state()).isEqualTo(RelayedPage.State.SERVED);
        assertThat(served.entries()).isEmpty();
    }

    @Test
    void sendsTheAskerToTheLogForEntriesItDoesNotHave() {
        mRecent.took(5, page(5, 3), NOW_MILLIS);
        assertThat(mRecent.serve(4, 10, NOW_MILLIS).state()).isEqualTo(RelayedPage.State.TOO_OLD);
    }

    @Test
    void keepsNoGapAfterTheLogHasDroppedEntries() {
        mRecent.took(5, page(5, 3), NOW_MILLIS);
        mRecent.took(8, page(20, 2), NOW_MILLIS);
        assertThat(mRecent.serve(5, 10, NOW_MILLIS).state()).isEqualTo(RelayedPage.State.TOO_OLD);
        assertThat(offsets(mRecent.serve(20, 10, NOW_MILLIS))).containsExactly(20L, 21L);
    }

    @Test
    void saysThatTheLogIsOutOnceItsOwnReadsFail() {
        mRecent.took(5, page(5, 3), NOW_MILLIS);
        long later = NOW_MILLIS + RecentEntries.FRESH_MILLIS + 1;
        assertThat(mRecent.serve(6, 10, later).state()).isEqualTo(RelayedPage.State.LOG_OUT);
    }

    @Test
    void dropsTheOldestBeyondItsBound() {
        int more = RecentEntries.MAX_ENTRIES + 10;
        mRecent.took(0, page(0, more), NOW_MILLIS);
        assertThat(mRecent.serve(9, 10, NOW_MILLIS).state()).isEqualTo(RelayedPage.State.TOO_OLD);
        assertThat(offsets(mRecent.serve(10, 1, NOW_MILLIS))).containsExactly(10L);
    }

    @Test
    void aPageSurvivesItsEncoding() {
        mRecent.took(5, page(5, 2), NOW_MILLIS);
        RelayedPage page = mRecent.serve(5, 10, NOW_MILLIS);
        RelayedPage decoded = RelayedPage.decode(page.encode()).orElseThrow();
        assertThat(offsets(decoded)).isEqualTo(offsets(page));
        assertThat(decoded.entries().get(1).payload()).isEqualTo(new byte[] {1});
        assertThat(RelayedPage.decode(new byte[] {'x'})).isEmpty();
    }

    private static LogPage page(long firstOffset, int count) {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new LogEntry(firstOffset + i, NOW_MILLIS, new byte[] {(byte) i}));
        }
        return new LogPage(entries, 0, firstOffset + count);
    }

    private static List<Long> offsets(RelayedPage page) {
        return page.entries().stream().map(LogEntry::offset).toList();
    }
}
