package org.magnoliapick.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.UpstreamIncarnation;

/** Guards against cold states that are missed, never end, or end too early. */
final class ColdUpstreamsTest {
    private static final UpstreamIncarnation FIRST = incarnation(10);
    private static final UpstreamIncarnation SECOND = incarnation(20);

    private final ColdUpstreams mCold = newCold();

    @Test
    void onlyWhatIsListedAfterTheFirstReadingStartsCold() {
        list(mCold, FIRST, OptionalLong.empty(), 1, true, 1_000);
        assertThat(mCold.endMillis(FIRST)).isEmpty();
        list(mCold, FIRST, OptionalLong.empty(), 2, false, 2_000);
        assertThat(mCold.endMillis(FIRST)).isEmpty();
        list(mCold, SECOND, OptionalLong.empty(), 3, false, 3_000);
        assertThat(mCold.endMillis(SECOND)).hasValue(6_000);
        assertThat(mCold.endMillis(FIRST)).isEmpty();
    }

    @Test
    void usesWhatTheFirstReadingStates() {
        list(mCold, FIRST, OptionalLong.of(700), 1, true, 1_000);
        assertThat(mCold.endMillis(FIRST)).hasValue(1_700);
        // The same entry, read again, says nothing new.
        list(mCold, FIRST, OptionalLong.of(700), 1, false, 5_000);
        assertThat(mCold.endMillis(FIRST)).hasValue(1_700);
    }

    @Test
    void treatsAnUpstreamThatStatesToBeWarmAsWarm() {
        list(mCold, FIRST, OptionalLong.of(0), 1, false, 1_000);
        assertThat(mCold.endMillis(FIRST)).isEmpty();
    }

    @Test
    void onlyALaterResponseEndsAStateEarly() {
        mCold.recordResponse(FIRST, "s", 2_000, "a", 900, 1_000);
        mCold.recordResponse(FIRST, "s", 0, "b", 950, 1_010);
        assertThat(mCold.endMillis(FIRST)).hasValue(3_000);
        mCold.recordResponse(FIRST, "s", 0, "c", 1_020, 1_060);
        assertThat(mCold.endMillis(FIRST)).isEmpty();
    }

    /** The way between two instances delays a statement each time that it is passed on. */
    @Test
    void doesNotExtendAStateThatInstancesPassToEachOther() {
        ColdUpstreams other = newCold();
        mCold.recordResponse(FIRST, "s", 2_000, "a", 900, 1_000);
        long clock = 1_000;
        for (int i = 0; i < 5; i++) {
            clock += 150;
            other.applyUpdate(delayed(mCold.updateFor(0).orElseThrow(), 150), "x", clock);
            clock += 150;
            mCold.applyUpdate(delayed(other.updateFor(0).orElseThrow(), 150), "y", clock);
        }
        assertThat(mCold.endMillis(FIRST)).hasValue(3_000);
        assertThat(other.endMillis(FIRST)).hasValue(3_150);
    }

    @Test
    void logsBeginAndEndOnce() {
        list(mCold, FIRST, OptionalLong.of(700), 1, false, 1_000);
        mCold.tick(1_100);
        list(mCold, FIRST, OptionalLong.of(900), 2, false, 1_200);
        mCold.tick(1_300);
        assertThat(mCold.coldCount(1_300)).isEqualTo(1);
        mCold.tick(2_100);
        mCold.tick(2_200);
        assertThat(mCold.takeChanges())
                .extracting(ColdChange::logName)
                .containsExactly("upstream.cold", "upstream.warm");
        assertThat(mCold.coldCount(2_200)).isZero();
    }

    @Test
    void keepsNothingOfServicesWithoutAColdState() {
        mCold.configure(Map.of());
        list(mCold, FIRST, OptionalLong.of(700), 1, false, 1_000);
        mCold.tick(1_100);
        assertThat(mCold.endMillis(FIRST)).isEmpty();
        assertThat(mCold.takeChanges()).isEmpty();
        assertThat(mCold.updateFor(0)).isEmpty();
        // The configuration may be read after the list.
        mCold.configure(Map.of("s", 3_000L));
        assertThat(mCold.endMillis(FIRST)).hasValue(1_700);
    }

    private static ColdUpdate delayed(ColdUpdate update, long delayMillis) {
        List<ColdStatement> statements =
                update.statements().stream()
                        .map(
                                each ->
                                        new ColdStatement(
                                                each.incarnation(),
                                                each.service(),
                                                each.seenMillis() + delayMillis,
                                                OptionalLong.of(
                                                        each.endMillis().getAsLong()
                                                                + delayMillis)))
                        .toList();
        return new ColdUpdate(update.version(), statements);
    }

    private static void list(
            ColdUpstreams cold,
            UpstreamIncarnation incarnation,
            OptionalLong leftMillis,
            long offset,
            boolean firstReading,
            long nowMillis) {
        cold.recordListed(incarnation, "s", leftMillis, offset, firstReading, nowMillis);
    }

    private static ColdUpstreams newCold() {
        ColdUpstreams cold = new ColdUpstreams();
        cold.configure(Map.of("s", 3_000L));
        return cold;
    }

    private static UpstreamIncarnation incarnation(long startedMillis) {
        return new UpstreamIncarnation(new UpstreamId("u"), startedMillis);
    }
}
