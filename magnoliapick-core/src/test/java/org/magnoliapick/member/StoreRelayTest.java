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
        return new UpstreamChange("u" + offset, ByteBuffer.wrap(new byte[] {1}), offset, 0);
    }

    private static StorePosition known(long listOffset) {
        return new StorePosition(StorePosition.NONE, listOffset, StorePosition.NONE);
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
        Optional<StoreUpdate> update = mReader.updateFor(mReceiver.position(), nowMillis);
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
        mReader.updateFor(mReceiver.position(), 110);
        readerReads(30, 200, 25);
        assertThat(sendUpdate(210)).extracting(UpstreamChange::offset).containsExactly(12L, 25L);
    }

    @Test
    void outdatedUpdateChangesNothing() {
        bothStart(10);
        readerReads(20, 100, 12);
        StoreUpdate first = mReader.updateFor(known(10), 110).orElseThrow();
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
        assertThat(mReader.updateFor(known(10), 2_000)).isEmpty();
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
        assertThat(mReader.updateFor(known(20), 500)).isEmpty();
        readerReads(40, 3_000);
        assertThat(mReader.updateFor(mReceiver.position(), 3_000)).isEmpty();
        mReceiver.listRead(40, 3_010);
        sendUpdate(3_020);
        assertThat(mReceiver.listFreshFromPeers(3_020)).isTrue();
    }

    @Test
    void readerThatStartedLaterSendsNoUpdateToAnInstanceThatKnowsLess() {
        mReceiver.fullListRead(10, 0);
        mReader.fullListRead(50, 100);
        mReader.configRead(1, 100);
        assertThat(mReader.updateFor(mReceiver.position(), 110)).isEmpty();
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
        StoreUpdate update = mReceiver.updateFor(third.position(), 910).orElseThrow();
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

    /**
     * Guards against a receiver that takes the offset that it knew before the store was restored
     * for a later one: it would neither read nor receive anything until the log has grown again.
     */
    @Test
    void receiverThatMissedARestoreIgnoresUpdatesAndReadsByItself() {
        bothStart(10);
        readerReads(20, 100);
        sendUpdate(100);
        mReader.advanceEpoch(1);
        mReader.fullListRead(5, 200);
        mReader.configRead(0, 200);
        assertThat(mReader.updateFor(mReceiver.position(), 210)).isEmpty();
        StoreUpdate update = mReader.updateFor(mReader.position(), 210).orElseThrow();
        assertThat(mReceiver.applyUpdate(update, 210)).isEmpty();
        assertThat(mReceiver.configFreshFromPeers(100 + BOUND_MILLIS * 7 / 10)).isFalse();
        mReceiver.advanceEpoch(1);
        assertThat(mReceiver.listFreshFromPeers(220)).isFalse();
        mReceiver.fullListRead(5, 230);
        mReceiver.configRead(0, 230);
        mReader.listChanged(change(6));
        mReader.listRead(7, 240);
        mReader.configRead(0, 240);
        assertThat(sendUpdate(250)).extracting(UpstreamChange::offset).containsExactly(6L);
        assertThat(mReceiver.configFreshFromPeers(250)).isTrue();
    }

    @Test
    void readerThatMissedARestoreSendsNothingToAnInstanceThatNoticedIt() {
        bothStart(10);
        readerReads(20, 100);
        mReceiver.advanceEpoch(1);
        mReceiver.fullListRead(5, 110);
        mReceiver.configRead(0, 110);
        assertThat(mReader.updateFor(mReceiver.position(), 120)).isEmpty();
        assertThat(mReceiver.applyUpdate(mReader.updateFor(known(10), 120).orElseThrow(), 120))
                .isEmpty();
        assertThat(mReceiver.listOffset()).isEqualTo(5);
        assertThat(mReceiver.listFreshFromPeers(120)).isFalse();
    }

    @Test
    void changesAtLowerOffsetsAreRelayedAfterEachRestore() {
        bothStart(10);
        for (int epoch = 1; epoch < 4; epoch++) {
            long end = 10 - 2 * epoch;
            long millis = 1_000L * epoch;
            assertThat(mReader.advanceEpoch(epoch)).isTrue();
            assertThat(mReceiver.advanceEpoch(epoch)).isTrue();
            mReader.fullListRead(end, millis);
            mReceiver.fullListRead(end, millis);
            mReader.configRead(1, millis);
            mReceiver.configRead(1, millis);
            mReader.listChanged(change(end));
            mReader.listRead(end + 1, millis + 10);
            assertThat(sendUpdate(millis + 20))
                    .extracting(UpstreamChange::offset)
                    .containsExactly(end);
        }
    }

    /** The outage that it started in may have lasted longer than the time for catching up. */
    @Test
    void aStartedInstanceIsBehindUntilItHasTheReportedVersion() {
        mReceiver.versionReported(13);
        mReceiver.configInForce(6, 20_000);
        assertThat(mReceiver.isStartingBehind(20_100)).isTrue();
        mReceiver.versionReported(6);
        mReceiver.configInForce(10, 20_200);
        assertThat(mReceiver.isStartingBehind(20_300)).isTrue();
        mReceiver.configInForce(13, 20_400);
        assertThat(mReceiver.isStartingBehind(20_500)).isFalse();
    }

    @Test
    void doesNotWaitForAVersionThatIsNeverWrittenAgain() {
        mReceiver.configInForce(6, 20_000);
        mReceiver.versionReported(13);
        assertThat(mReceiver.isStartingBehind(24_999)).isTrue();
        assertThat(mReceiver.isStartingBehind(25_000)).isFalse();
    }
}
