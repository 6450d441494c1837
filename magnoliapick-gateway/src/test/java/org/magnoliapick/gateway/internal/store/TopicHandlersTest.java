package org.magnoliapick.gateway.internal.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.FakeDialect;
import org.magnoliapick.gateway.StoreRecord;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLineWriter;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.ColdUpstreams;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.member.UpstreamChange;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.route.CallerLimits;
import org.magnoliapick.route.TrafficConfig;

final class TopicHandlersTest {
    private static final byte UNREADABLE = 99;
    private static final long IN_FORCE_MILLIS = 2_000;

    private final StoreRelay mRelay = new StoreRelay(IN_FORCE_MILLIS, IN_FORCE_MILLIS);

    private final EventLog mLog =
            new EventLog(
                    new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream())), () -> 0);
    private final List<Long> mVersions = new ArrayList<>();
    private final UpstreamDirectory mDirectory = new UpstreamDirectory();
    private final ColdUpstreams mCold = new ColdUpstreams();

    /** Parses a version from a single byte; throws if it is {@code UNREADABLE}. */
    private static final class ThrowingDialect extends FakeDialect {
        private ThrowingDialect() {
            super(80);
        }

        private static void check(byte[] value) {
            if (value[0] == UNREADABLE) {
                throw new IllegalArgumentException("poison");
            }
        }

        @Override
        public Optional<TrafficConfig> readConfig(String key, byte[] value) {
            check(value);
            return Optional.of(
                    new TrafficConfig(
                            value[0],
                            List.of(),
                            List.of(),
                            Optional.empty(),
                            CallerLimits.INITIAL,
                            OptionalLong.empty()));
        }

        @Override
        public Optional<ListedUpstream> readUpstream(UpstreamId id, byte[] value) {
            check(value);
            return super.readUpstream(id, value);
        }
    }

    private ConfigHandler newConfigHandler(Consumer<TrafficConfig> sink) {
        return new ConfigHandler(
                new ThrowingDialect(),
                mLog,
                new EvacuationReader(
                        new ThrowingDialect(), mLog, mDirectory.evacuated(), mRelay, () -> {}),
                mRelay,
                () -> 0,
                IN_FORCE_MILLIS,
                sink);
    }

    private static StoreRecord record(String key, long offset, byte... value) {
        return new StoreRecord(key, value, offset);
    }

    @Test
    void ignoresOlderConfigVersions() {
        ConfigHandler handler = newConfigHandler(config -> mVersions.add(config.version()));
        handler.applyRecords(List.of(record("c", 0, (byte) 3), record("c", 1, (byte) 2)));
        handler.applySnapshot(List.of(record("c", 0, (byte) 3)), 2);
        handler.applyRecords(List.of(record("c", 3, (byte) 5)));
        assertThat(mVersions).containsExactly(3L, 5L);
    }

    @Test
    void continuesAfterAnUnreadableRecord() {
        ConfigHandler handler = newConfigHandler(config -> mVersions.add(config.version()));
        handler.applyRecords(List.of(record("c", 0, UNREADABLE), record("c", 1, (byte) 4)));
        assertThat(mVersions).containsExactly(4L);
    }

    /** Guards against a version that cannot be applied and hides those after it. */
    @Test
    void continuesAfterAVersionThatCannotBeApplied() {
        ConfigHandler handler =
                newConfigHandler(
                        config -> {
                            if (config.version() == 4) {
                                throw new IllegalStateException("version 4");
                            }
                            mVersions.add(config.version());
                        });
        handler.applyRecords(List.of(record("c", 0, (byte) 4), record("d", 1, (byte) 5)));
        assertThat(mVersions).containsExactly(5L);
    }

    @Test
    void anUnreadableEntryDoesNotAffectOtherUpstreams() {
        Dialect dialect = new ThrowingDialect();
        UpstreamListHandler handler =
                new UpstreamListHandler(
                        dialect,
                        mLog,
                        mDirectory,
                        mCold,
                        mRelay,
                        () -> 0,
                        IN_FORCE_MILLIS,
                        () -> mVersions.add(0L));
        handler.applySnapshot(
                List.of(
                        record("good", 0, (byte) 1),
                        record("bad", 1, UNREADABLE),
                        record(" ", 2, (byte) 1),
                        record("x".repeat(300), 3, (byte) 1)),
                4);
        assertThat(mDirectory.usable()).hasSize(1);
        assertThat(mVersions).hasSize(1);
        handler.applyRecords(List.of(record("good", 5)));
        assertThat(mDirectory.usable()).isEmpty();
    }

    @Test
    void appliesPeerChangesInOffsetOrder() {
        UpstreamListHandler handler =
                new UpstreamListHandler(
                        new ThrowingDialect(),
                        mLog,
                        mDirectory,
                        mCold,
                        mRelay,
                        () -> 0,
                        IN_FORCE_MILLIS,
                        () -> mVersions.add(0L));
        handler.applySnapshot(List.of(record("old", 1, (byte) 1)), 5);
        UpstreamChange listed = new UpstreamChange("new", ByteBuffer.wrap(new byte[] {1}), 6, 0);
        UpstreamChange ended = new UpstreamChange("old", ByteBuffer.allocate(0), 7, 0);
        handler.applyPeerChanges(List.of(listed, ended));
        assertThat(mDirectory.usable())
                .extracting(each -> each.id().value())
                .containsExactly("new");
        handler.applyPeerChanges(List.of(new UpstreamChange("new", ByteBuffer.allocate(0), 2, 0)));
        assertThat(mDirectory.usable()).hasSize(1);
    }

    /**
     * Guards against a version that is not in force in time: a long poll that started while the
     * version was being appended waited 15 s and missed it (settings-and-keys, seed 44454958874).
     */
    @Test
    void aMissedLongPollLeavesTimeForTheNextRead() {
        ConfigHandler handler = newConfigHandler(config -> {});
        long slowAnswerMillis = 500;
        assertThat(handler.waitMillis() + slowAnswerMillis).isLessThan(IN_FORCE_MILLIS);
    }
}
