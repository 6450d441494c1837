package org.magnoliapick.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** One instance that reads the store, and one that hears from it. */
final class StoreRelayTest {
    private static final long BOUND_MILLIS = 2_000;

    private final StoreRelay mReader = new StoreRelay(BOUND_MILLIS, BOUND_MILLIS);
    private final StoreRelay mHearer = new StoreRelay(BOUND_MILLIS, BOUND_MILLIS);

    private static UpstreamChange change(long offset) {
        return new UpstreamChange("u" + offset, ByteBuffer.wrap(new byte[] {1}), offset);
    }

    private void bothStart(long endOffset) {
        mReader.fullListRead(endOffset, 0);
        mReader.configRead(1, 0);
        mHearer.fullListRead(endOffset, 0);
        mHearer.configRead(1, 0);
    }

    private void readerReads(long endOffset, long nowMillis, long... changedOffsets) {
        for (long each : changedOffsets) {
            mReader.listChanged(change(each));
        }
        mReader.listRead(endOffset, nowMillis);
        mReader.configRead(1, nowMillis);
    }

    private List<UpstreamChange> tell(long nowMillis) {
        Optional<StoreUpdate> news = mReader.updateFor(mHearer.listOffset(), nowMillis);
        return news.map(each -> mHearer.applyUpdate(each, nowMillis)).orElse(List.of());
    }

    @Test
    void whoHearsRestsAndKnowsEachChangeOnce() {
        bothStart(10);
        readerReads(20, 100, 12, 15);
        assertThat(tell(110)).extracting(UpstreamChange::offset).containsExactly(12L, 15L);
        assertThat(tell(120)).isEmpty();
        assertThat(mHearer.listOffset()).isEqualTo(20);
        assertThat(mHearer.listFreshFromPeers(120)).isTrue();
        assertThat(mHearer.configFreshFromPeers(120)).isTrue();
    }

    @Test
    void aLostDatagramIsMadeUpForByTheNext() {
        bothStart(10);
        readerReads(20, 100, 12);
        mReader.updateFor(mHearer.listOffset(), 110);
        readerReads(30, 200, 25);
        assertThat(tell(210)).extracting(UpstreamChange::offset).containsExactly(12L, 25L);
    }

    @Test
    void newsThatComeTwiceOrOutOfOrderChangeNothing() {
        bothStart(10);
        readerReads(20, 100, 12);
        StoreUpdate first = mReader.updateFor(10, 110).orElseThrow();
        readerReads(30, 200, 25);
        tell(210);
        assertThat(mHearer.applyUpdate(first, 220)).isEmpty();
        assertThat(mHearer.listOffset()).isEqualTo(30);
    }

    /**
     * The reader is frozen right after it told: others read by themselves well within the bound.
     */
    @Test
    void whoHearsNothingMoreReadsByItselfInTime() {
        bothStart(10);
        readerReads(20, 100);
        tell(100);
        long limitMillis = 100 + BOUND_MILLIS * 7 / 10;
        assertThat(mHearer.listFreshFromPeers(limitMillis)).isFalse();
        assertThat(mHearer.configFreshFromPeers(limitMillis)).isFalse();
    }

    @Test
    void aReaderThatIsCutOffFromTheStoreCoversNobody() {
        bothStart(10);
        readerReads(20, 100);
        assertThat(mReader.updateFor(10, 2_000)).isEmpty();
    }

    @Test
    void whoMissesAVersionDoesNotRestOnItsNews() {
        bothStart(10);
        readerReads(20, 100);
        mReader.configRead(2, 100);
        tell(110);
        assertThat(mHearer.configFreshFromPeers(110)).isFalse();
        mHearer.configRead(2, 120);
        tell(130);
        assertThat(mHearer.configFreshFromPeers(130)).isTrue();
    }

    /** Entries that lapsed in an outage end later than their records are read. */
    @Test
    void afterAnOutageEverybodyReadsByItselfOnce() {
        bothStart(10);
        readerReads(20, 100);
        tell(100);
        mReader.listReadAfterOutage(30);
        assertThat(mReader.updateFor(20, 500)).isEmpty();
        readerReads(40, 3_000);
        assertThat(mReader.updateFor(mHearer.listOffset(), 3_000)).isEmpty();
        mHearer.listRead(40, 3_010);
        tell(3_020);
        assertThat(mHearer.listFreshFromPeers(3_020)).isTrue();
    }

    @Test
    void aReaderThatStartedLaterDoesNotCoverWhoKnowsLess() {
        mHearer.fullListRead(10, 0);
        mReader.fullListRead(50, 100);
        mReader.configRead(1, 100);
        assertThat(mReader.updateFor(mHearer.listOffset(), 110)).isEmpty();
    }

    @Test
    void whoHeardTellsOnWhatItHeardOnceItReads() {
        bothStart(10);
        readerReads(20, 100, 12);
        tell(110);
        mHearer.listRead(30, 900);
        mHearer.configRead(1, 900);
        StoreRelay third = new StoreRelay(BOUND_MILLIS, BOUND_MILLIS);
        third.fullListRead(10, 0);
        third.configRead(1, 0);
        StoreUpdate news = mHearer.updateFor(third.listOffset(), 910).orElseThrow();
        assertThat(third.applyUpdate(news, 910)).extracting(UpstreamChange::offset).containsExactly(12L);
    }

    @Test
    void manyMissedChangesAreToldInParts() {
        bothStart(0);
        long[] offsets = new long[150];
        for (int i = 0; i < offsets.length; i++) {
            offsets[i] = i;
        }
        readerReads(200, 100, offsets);
        List<UpstreamChange> heard = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            heard.addAll(tell(110));
        }
        assertThat(heard).hasSize(150);
        assertThat(mHearer.listOffset()).isEqualTo(200);
    }
}
