package org.magnoliapick.gateway.internal.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.magnoliapick.gateway.FakeDialect;
import org.magnoliapick.gateway.FakeStore;
import org.magnoliapick.gateway.StoreCall;
import org.magnoliapick.gateway.StoreRecord;
import org.magnoliapick.gateway.StoreTopic;
import org.magnoliapick.gateway.TestSettings;
import org.magnoliapick.gateway.internal.http.BufferingHttpClient;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLineWriter;

/** Guards against an instance that stops following the store after a fault. */
@Timeout(60)
final class StoreFollowerTest {
    private static final EventLog LOG =
            new EventLog(
                    new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream())), () -> 0);

    private final BlockingQueue<String> mKeys = new LinkedBlockingQueue<>();

    @Test
    void followsOnAfterFaultsOfItsHandler() throws Exception {
        NioEventLoopGroup loop = new NioEventLoopGroup(1);
        try (FakeStore store = new FakeStore()) {
            store.append(StoreTopic.UPSTREAMS, "a", "1");
            StoreFollower follower =
                    new StoreFollower(
                            loop.next(),
                            new BufferingHttpClient(
                                    loop.next(),
                                    new Connector(loop),
                                    TestSettings.loopback(store.port()),
                                    StoreFollowerTest::nowMillis),
                            new StoreDialect(),
                            new FaultyHandler(),
                            LOG,
                            StoreFollowerTest::nowMillis,
                            () -> true,
                            () -> {},
                            (epoch, topic, nextOffset) -> true);
            loop.next().execute(follower::start);
            awaitKey("a");
            store.append(StoreTopic.UPSTREAMS, "odd", "1");
            awaitKey("odd");
            store.append(StoreTopic.UPSTREAMS, "b", "1");
            awaitKey("b");
        } finally {
            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private void awaitKey(String key) throws InterruptedException {
        String applied = "";
        while (!applied.equals(key)) {
            applied = mKeys.take();
        }
        assertThat(applied).isEqualTo(key);
    }

    private static final class StoreDialect extends FakeDialect {
        private StoreDialect() {
            super(80);
        }

        @Override
        public StoreCall newestRecords(StoreTopic topic, Optional<String> afterKey) {
            return FakeStore.call("/newest/" + topic);
        }

        @Override
        public StoreCall recordsFrom(StoreTopic topic, long fromOffset, long waitMillis) {
            return FakeStore.call("/from/" + topic + "/" + fromOffset);
        }
    }

    /** Fails on the first snapshot, on appended records with an odd key, and once covered. */
    private final class FaultyHandler implements StoreFollower.TopicHandler {
        private boolean mFailed;

        @Override
        public StoreTopic topic() {
            return StoreTopic.UPSTREAMS;
        }

        @Override
        public long waitMillis() {
            return 0;
        }

        @Override
        public long pauseMillis() {
            return 0;
        }

        @Override
        public void applySnapshot(List<StoreRecord> records, long endOffset) {
            if (!mFailed) {
                mFailed = true;
                throw new IllegalStateException("first snapshot");
            }
            records.forEach(each -> mKeys.add(each.key()));
        }

        @Override
        public void applyRecords(List<StoreRecord> records) {
            if (records.stream().anyMatch(each -> each.key().equals("odd"))) {
                throw new IllegalStateException("odd record");
            }
            records.forEach(each -> mKeys.add(each.key()));
        }

        @Override
        public boolean advanceTo(long endOffset, long asOfMillis) {
            return false;
        }

        @Override
        public boolean isCovered() {
            return false;
        }

        @Override
        public void storeRestored() {}

        @Override
        public void storeUnavailable() {}

        @Override
        public void storeAvailable() {}
    }
}
