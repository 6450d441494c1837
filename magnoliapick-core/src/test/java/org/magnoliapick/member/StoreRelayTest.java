package org.magnoliapick.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests one instance that reads the store and one that receives its updates. */
final class StoreRelayTest {
    private static final long BOUND_MILLIS = 2_000;

    private final StoreRelay mReader = new StoreRelay(BOUND_MILLIS, BOUND_MILLIS);
    private final StoreRelay mReceiver = new StoreRelay(BOUND_MILLIS, BOUND_MILLIS);

    private static UpstreamChange change(long offset) {
        return new UpstreamChange("u" + offset, ByteBuffer.wrap(new byte[] {1}), offset);
    }

    private void bothStart(long endOffset) {
        mReader.fullListRead(endOffset, 0);
        mReader.configRead(1, 0);
        mReceiver.fullListRead(endOffset, 0);
        mReceiver.configRead(1, 0);
    }

    private void readerReads(long endOffset, long nowMillis, long... changedOffsets) {
        for (long each : changedOffsets) {
            mReader.listChanged(change(each));
        }
        mReader.listRead(endOffset, nowMillis);
        mReader.configRead(1, nowMillis);
    }

    private List<UpstreamChange> sendUpdate(long nowMillis) {
        Optional<StoreUpdate> update = mReader.updateFor(mReceiver.listOffset(), nowMillis);
        return update.map(each -> mReceiver.applyUpdate(each, nowMillis)).orElse(List.of());
    }

    @Test
    void receiverSkipsItsReadsAndGetsEachChangeOnce() {
        bothStart(10);
        readerReads(20, 100, 12, 15);
        assertThat(sendUpdate(110)).extracting(UpstreamChange::offset).containsExactly(12L, 15L);
        assertThat(sendUpdate(120)).isEmpty();
        assertThat(mReceiver.listOffset()).isEqualTo(20);
        assertThat(mReceiver.listFreshFromPeers(120)).isTrue();
        assertThat(mReceiver.configFreshFromPeers(120)).isTrue();
    }

    @Test
    void nextUpdateRepeatsTheChangesOfALostDatagram() {
        bothStart(10);
        readerReads(20, 100, 12);
        mReader.updateFor(mReceiver.listOffset(), 110);
        readerReads(30, 200, 25);
        assertThat(sendUpdate(210)).extracting(UpstreamChange::offset).containsExactly(12L, 25L);
    }

    @Test
    void outdatedUpdateChangesNothing() {
        bothStart(10);
        readerReads(20, 100, 12);
        StoreUpdate first = mReader.updateFor(10, 110).orElseThrow();
        readerReads(30, 200, 25);
        sendUpdate(210);
        assertThat(mReceiver.applyUpdate(first, 220)).isEmpty();
        assertThat(mReceiver.listOffset()).isEqualTo(30);
    }

    /** A reader that freezes right after an update must not delay a change beyond the bound. */
    @Test
    void receiverReadsByItselfInTimeWhenUpdatesStop() {
        bothStart(10);
        readerReads(20, 100);
        sendUpdate(100);
        long limitMillis = 100 + BOUND_MILLIS * 7 / 10;
        assertThat(mReceiver.listFreshFromPeers(limitMillis)).isFalse();
        assertThat(mReceiver.configFreshFromPeers(limitMillis)).isFalse();
    }

    @Test
    void readerThatIsCutOffFromTheStoreSendsNoUpdates() {
        bothStart(10);
        readerReads(20, 100);
        assertThat(mReader.updateFor(10, 2_000)).isEmpty();
    }

    @Test
    void receiverThatLacksAVersionReadsTheConfigurationItself() {
        bothStart(10);
        readerReads(20, 100);
        mReader.configRead(2, 100);
        sendUpdate(110);
        assertThat(mReceiver.configFreshFromPeers(110)).isFalse();
        mReceiver.configRead(2, 120);
        sendUpdate(130);
        assertThat(mReceiver.configFreshFromPeers(130)).isTrue();
    }

    /** Entries that lapsed in an outage end only after their records were read. */
    @Test
    void receiverReadsByItselfOnceAfterAnOutage() {
        bothStart(10);
        readerReads(20, 100);
        sendUpdate(100);
        mReader.listReadAfterOutage(30);
        assertThat(mReader.updateFor(20, 500)).isEmpty();
        readerReads(40, 3_000);
        assertThat(mReader.updateFor(mReceiver.listOffset(), 3_000)).isEmpty();
        mReceiver.listRead(40, 3_010);
        sendUpdate(3_020);
        assertThat(mReceiver.listFreshFromPeers(3_020)).isTrue();
    }

    @Test
    void readerThatStartedLaterSendsNoUpdateToAnInstanceThatKnowsLess() {
        mReceiver.fullListRead(10, 0);
        mReader.fullListRead(50, 100);
        mReader.configRead(1, 100);
        assertThat(mReader.updateFor(mReceiver.listOffset(), 110)).isEmpty();
    }

    @Test
    void receiverRelaysReceivedChangesOnceItReadsItself() {
        bothStart(10);
        readerReads(20, 100, 12);
        sendUpdate(110);
        mReceiver.listRead(30, 900);
        mReceiver.configRead(1, 900);
        StoreRelay third = new StoreRelay(BOUND_MILLIS, BOUND_MILLIS);
        third.fullListRead(10, 0);
        third.configRead(1, 0);
        StoreUpdate update = mReceiver.updateFor(third.listOffset(), 910).orElseThrow();
        assertThat(third.applyUpdate(update, 910))
                .extracting(UpstreamChange::offset)
                .containsExactly(12L);
    }

    @Test
    void manyMissedChangesAreSentInSeveralUpdates() {
        bothStart(0);
        long[] offsets = new long[150];
        for (int i = 0; i < offsets.length; i++) {
            offsets[i] = i;
        }
        readerReads(200, 100, offsets);
        List<UpstreamChange> received = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            received.addAll(sendUpdate(110));
        }
        assertThat(received).hasSize(150);
        assertThat(mReceiver.listOffset()).isEqualTo(200);
    }
}
