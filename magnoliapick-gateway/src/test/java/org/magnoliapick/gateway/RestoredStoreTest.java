package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliapick.gateway.internal.GatewayProcess;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.route.CallerLimits;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.RouteKind;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;
import org.magnoliapick.route.WeightedService;

/** Guards against changes that are missed after the store was restored from an older copy. */
@Timeout(20)
final class RestoredStoreTest {
    private final ByteArrayOutputStream mLog = new ByteArrayOutputStream();
    private final AtomicLong mClockLeadMillis = new AtomicLong();
    private final List<AutoCloseable> mCloseables = new ArrayList<>();
    private FakeStore mStore;
    private FakeServer mUpstream;
    private int mCallerPort;

    /**
     * Version N of the configuration has the routes /v1/ to /vN/; an upstream's value its start.
     */
    private final class LogDialect extends FakeDialect {
        @Override
        public Optional<TrafficConfig> readConfig(String key, byte[] value) {
            int version = Integer.parseInt(new String(value, StandardCharsets.ISO_8859_1));
            List<Route> routes = new ArrayList<>();
            for (int i = 1; i <= version; i++) {
                routes.add(route("v" + i));
            }
            return Optional.of(
                    new TrafficConfig(
                            version,
                            routes,
                            List.of(new ServiceSpec("s", 10, Optional.empty())),
                            Optional.empty(),
                            new CallerLimits(16_384, 4_096, 1_000, 10_000),
                            OptionalLong.empty()));
        }

        private Route route(String name) {
            List<WeightedService> services = List.of(new WeightedService("s", 1));
            return new Route(
                    name,
                    "127.0.0.1",
                    "/" + name + "/",
                    RouteKind.SAFE,
                    5_000,
                    1_000,
                    200,
                    1,
                    services,
                    2,
                    true,
                    false);
        }

        @Override
        public Optional<ListedUpstream> readUpstream(UpstreamId id, byte[] value) {
            String text = new String(value, StandardCharsets.ISO_8859_1);
            return Optional.of(
                    new ListedUpstream(
                            id,
                            "s",
                            "127.0.0.1:" + mUpstream.port(),
                            TestSettings.DOMAIN,
                            4,
                            text.startsWith("leaving"),
                            Long.parseLong(text.replaceAll("[^0-9]", ""))));
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

    @BeforeEach
    void start() throws Exception {
        mUpstream =
                new FakeServer(
                        (request, socket) -> {
                            int start = request.indexOf("Id: ") + 4;
                            String id = request.substring(start, request.indexOf('\r', start));
                            FakeServer.write(
                                    socket,
                                    "HTTP/1.1 200 OK\r\nId: "
                                            + id
                                            + "\r\nSigned: x\r\nContent-Length: 4\r\n\r\nbody");
                            return true;
                        });
        mStore = new FakeStore();
        mCloseables.add(mUpstream);
        mCloseables.add(mStore);
        mStore.append(StoreTopic.UPSTREAMS, "u", "ready1");
        for (int version = 1; version <= 4; version++) {
            mStore.append(StoreTopic.CONFIG, "config", Integer.toString(version));
        }
        GatewayProcess process =
                new GatewayProcess(
                        TestSettings.withStore(mStore.port()),
                        new LogDialect(),
                        new PrintStream(mLog, true, StandardCharsets.UTF_8),
                        () -> System.nanoTime() / 1_000_000 + mClockLeadMillis.get());
        process.start();
        mCloseables.add(process::close);
        mCallerPort = process.callerPort();
        awaitInForce(4);
        awaitLogged("\"upstream\":\"u\",\"leaving\":false");
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : mCloseables) {
            each.close();
        }
    }

    private void awaitInForce(int version) {
        awaitLogged("\"config.in-force\",\"version\":" + version + ",");
    }

    private void awaitLogged(String text) {
        while (!log().contains(text)) {
            // Lets the timeout of the test end it.
            assertThat(Thread.currentThread().isInterrupted()).as(text + " in " + log()).isFalse();
            Thread.onSpinWait();
        }
    }

    private String log() {
        return mLog.toString(StandardCharsets.UTF_8);
    }

    private String send(String route) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mCallerPort)) {
            FakeServer.write(
                    socket,
                    "POST /"
                            + route
                            + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\n"
                            + "Connection: close\r\nContent-Length: 0\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(bytes);
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }
    }

    /** The new version is written before, at and past the offset that was read last. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void appliesTheNextVersionWhereverTheRestoredLogEnds(int keptRecords) throws Exception {
        mStore.restore(StoreTopic.CONFIG, keptRecords);
        awaitLogged("\"kind\":\"store.restored\",\"epoch\":2,\"before\":1");
        mStore.append(StoreTopic.CONFIG, "config", "5");
        awaitInForce(5);
        assertThat(send("v5")).startsWith("HTTP/1.1 200");
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 5, 6, 9})
    void appliesTheNextVersionIfTheLogHasGrownAgainBeforeItIsRead(int end) throws Exception {
        synchronized (mStore) {
            // No read is answered in between.
            mStore.restore(StoreTopic.CONFIG, 1);
            for (int i = 1; i < end - 1; i++) {
                mStore.append(StoreTopic.CONFIG, "other", "1");
            }
            mStore.append(StoreTopic.CONFIG, "config", "5");
        }
        awaitInForce(5);
        assertThat(send("v5")).startsWith("HTTP/1.1 200");
    }

    @Test
    void keepsTheVersionInForceWhileTheCopyHoldsAnOlderOne() throws Exception {
        mStore.restore(StoreTopic.CONFIG, 2);
        awaitLogged("\"kind\":\"config.ignored\",\"version\":2,\"inForce\":4");
        assertThat(send("v4")).startsWith("HTTP/1.1 200");
        mStore.append(StoreTopic.CONFIG, "config", "3");
        mStore.append(StoreTopic.CONFIG, "config", "4");
        awaitLogged("\"kind\":\"config.ignored\",\"version\":4,\"inForce\":4");
        assertThat(send("v4")).startsWith("HTTP/1.1 200");
    }

    @Test
    void followsSeveralRestores() throws Exception {
        for (int i = 0; i < 3; i++) {
            mStore.restore(StoreTopic.CONFIG, 1);
            awaitLogged("\"kind\":\"store.restored\",\"epoch\":" + (2 + i));
            mStore.append(StoreTopic.CONFIG, "config", Integer.toString(5 + i));
            awaitInForce(5 + i);
        }
        assertThat(send("v7")).startsWith("HTTP/1.1 200");
    }

    @Test
    void noticesThatAnUpstreamLeavesAtALowerOffset() {
        for (int i = 0; i < 5; i++) {
            mStore.append(StoreTopic.UPSTREAMS, "w" + i, "ready2");
            awaitLogged("\"upstream\":\"w" + i + "\",\"leaving\":false");
        }
        mStore.restore(StoreTopic.UPSTREAMS, 1);
        awaitLogged("store.restored");
        mStore.append(StoreTopic.UPSTREAMS, "u", "leaving1");
        awaitLogged("\"upstream\":\"u\",\"leaving\":true");
    }

    @Test
    void doesNotSendToAnUpstreamThatOnlyTheCopyLists() throws Exception {
        mStore.append(StoreTopic.UPSTREAMS, "u", "leaving1");
        awaitLogged("\"upstream\":\"u\",\"leaving\":true");
        mStore.append(StoreTopic.UPSTREAMS, "u", "");
        awaitLogged("\"kind\":\"upstream.ended\",\"upstream\":\"u\"");
        mStore.restore(StoreTopic.UPSTREAMS, 1);
        awaitLogged("store.restored");
        mStore.append(StoreTopic.UPSTREAMS, "w", "");
        awaitLogged("\"kind\":\"upstream.ended\",\"upstream\":\"w\"");
        assertThat(send("v1")).startsWith("HTTP/1.1 503");
        assertThat(mUpstream.requests()).isEmpty();
    }

    @Test
    void keepsAnUpstreamThatTheCopyLacksForTheGracePeriod() throws Exception {
        mStore.restore(StoreTopic.UPSTREAMS, 0);
        awaitLogged("store.restored");
        assertThat(send("v1")).startsWith("HTTP/1.1 200");
        mStore.append(StoreTopic.UPSTREAMS, "u", "ready1");
        mStore.append(StoreTopic.UPSTREAMS, "w", "");
        awaitLogged("\"kind\":\"upstream.ended\",\"upstream\":\"w\"");
        mClockLeadMillis.addAndGet(3_000);
        assertThat(send("v1")).startsWith("HTTP/1.1 200");
    }
}
