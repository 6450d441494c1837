package org.magnoliapick.gateway.internal.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.magnoliapick.gateway.FakeDialect;
import org.magnoliapick.gateway.FakeServer;
import org.magnoliapick.gateway.RunningGateway;
import org.magnoliapick.gateway.TestSettings;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLineWriter;
import org.magnoliapick.gateway.internal.relay.Pools;
import org.magnoliapick.gateway.internal.relay.RelayContext;
import org.magnoliapick.gateway.internal.relay.Relays;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.memory.CallerMemory;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.relay.FleetRetryBudget;

/** Guards against requests that an overloaded instance reads, or whose rejection gets lost. */
@Timeout(20)
final class OverloadRejectionTest {
    private static final long START_MILLIS = 1_000_000;

    /** Longer than any delay that counts as overload, for the objective of the test's routes. */
    private static final long SLOW_STEP_MILLIS = 400;

    private static final int BODY_BYTES = 200_000;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoop mLoop = mGroup.next();
    private final AtomicLong mNowMillis = new AtomicLong(START_MILLIS);

    /** How far the clock moves each time that it is read. */
    private final AtomicLong mStepMillis = new AtomicLong();

    private final CountDownLatch mAnswer = new CountDownLatch(1);
    private FakeServer mUpstream;
    private RelayContext mContext;
    private CallerServer mServer;
    private int mPort;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new FakeServer(this::respond);
        FakeDialect dialect = new FakeDialect(mUpstream.port());
        EventLog log =
                new EventLog(
                        new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream())),
                        this::nowMillis);
        mContext =
                new RelayContext(
                        mLoop,
                        TestSettings.DOMAIN,
                        this::nowMillis,
                        dialect,
                        new FleetRetryBudget(1, 100, 10_000, 1),
                        log);
        mContext.applyConfig(dialect.readConfig("", new byte[0]).orElseThrow());
        mContext.admission().setEnabled(true);
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.put(
                dialect.readUpstream(new UpstreamId("u0"), new byte[0]).orElseThrow(),
                1,
                START_MILLIS);
        directory.listAvailable(START_MILLIS);
        Relays relays = new Relays(mContext);
        Pools pools =
                new Pools(
                        new Connector(mGroup),
                        new PoolSettings(4_000, 8),
                        directory,
                        mContext.quarantine(),
                        mContext.rateLimits(),
                        mContext.pauses(),
                        relays::execute);
        pools.setDispatcher(Optional::empty, () -> {}, () -> {});
        relays.setPools(pools);
        mServer = new CallerServer(mGroup, relays, log, this::nowMillis, new CallerMemory(1 << 20));
        mPort = mServer.listen(TestSettings.loopback(0));
    }

    private boolean respond(String request, Socket socket) throws IOException {
        try {
            mAnswer.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        FakeServer.write(socket, RunningGateway.response(request));
        return true;
    }

    private long nowMillis() {
        return mNowMillis.addAndGet(mStepMillis.get());
    }

    @AfterEach
    void close() throws Exception {
        mAnswer.countDown();
        mUpstream.close();
        mGroup.shutdownGracefully();
    }

    private Socket connect() throws IOException {
        return new Socket("127.0.0.1", mPort);
    }

    private boolean isRejected() throws Exception {
        return mLoop.submit(
                        () ->
                                mContext.admission()
                                        .decide(
                                                new DefaultHttpRequest(
                                                        HttpVersion.HTTP_1_1,
                                                        HttpMethod.POST,
                                                        "/safe/x"),
                                                nowMillis())
                                        .isPresent())
                .get();
    }

    /** Makes the loop late at each of its turns, with a request in flight on a connection. */
    private Socket overload() throws Exception {
        Socket inFlight = connect();
        FakeServer.write(inFlight, RunningGateway.request("safe", "first"));
        assertThat(mUpstream.requests().take()).contains("Id: first");
        mStepMillis.set(SLOW_STEP_MILLIS);
        while (!isRejected()) {
            assertThat(Thread.currentThread().isInterrupted()).isFalse();
        }
        return inFlight;
    }

    private Socket sendHeadAndPartOfBody() throws IOException {
        Socket socket = connect();
        FakeServer.write(
                socket,
                "POST /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: second\r\nContent-Length: "
                        + BODY_BYTES
                        + "\r\n\r\n"
                        + "x".repeat(BODY_BYTES / 2));
        return socket;
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void theResponseArrivesThoughTheBodyIsStillBeingSent() throws Exception {
        try (Socket inFlight = overload();
                Socket socket = sendHeadAndPartOfBody()) {
            String response = readAll(socket);

            assertThat(response)
                    .startsWith("HTTP/1.1 503 ")
                    .containsIgnoringCase("\r\nconnection: close\r\n")
                    .containsIgnoringCase("\r\nretry-after: ")
                    .containsIgnoringCase("\r\nmagnoliapick-outcome: not-run\r\n");
            // A connection that was reset or closed would fail one of these writes.
            FakeServer.write(socket, "x".repeat(BODY_BYTES / 4));
            assertThat(isRejected()).isTrue();
            FakeServer.write(socket, "x".repeat(BODY_BYTES / 4));
            assertThat(mUpstream.requests()).isEmpty();
            assertThat(inFlight.isClosed()).isFalse();
        }
    }

    @Test
    void aCallerThatDoesNotCloseItsSideIsClosedAfterAWhile() throws Exception {
        try (Socket inFlight = overload();
                Socket socket = sendHeadAndPartOfBody()) {
            readAll(socket);
            mLoop.submit(() -> mServer.sweep(mNowMillis.get() + EarlyRejection.LINGER_MILLIS))
                    .get();

            assertThat(mLoop.submit(mServer::connectionCount).get()).isEqualTo(1);
            assertThat(inFlight.isClosed()).isFalse();
        }
    }

    @Test
    void nothingIsRejectedWhileTurnedOff() throws Exception {
        try (Socket inFlight = overload()) {
            mLoop.submit(() -> mContext.admission().setEnabled(false)).get();

            assertThat(isRejected()).isFalse();
            assertThat(inFlight.isClosed()).isFalse();
        }
    }

    @Test
    void anOverloadThatLastsMakesTheInstanceNotReady() throws Exception {
        try (Socket inFlight = overload()) {
            assertThat(mContext.admission().isReady()).isTrue();
            while (mContext.admission().isReady()) {
                assertThat(Thread.currentThread().isInterrupted()).isFalse();
                mLoop.submit(() -> mContext.admission().tick(nowMillis())).get();
            }
            assertThat(inFlight.isClosed()).isFalse();
        }
    }

    @Test
    void rejectionsAreCounted() throws Exception {
        try (Socket inFlight = overload()) {
            StringBuilder metrics = new StringBuilder();
            mLoop.submit(
                            () -> {
                                mContext.counters().write(metrics);
                                mContext.admission().writeMetrics(metrics);
                            })
                    .get();

            assertThat(metrics.toString())
                    .contains("requests_failed_total{kind=\"instance-queue-full\"} 1\n")
                    .contains("admission_rejected_total{cause=\"standing-delay\"} 1\n")
                    .contains("magnoliapick_instance_overloaded 1\n");
            assertThat(inFlight.isClosed()).isFalse();
        }
    }
}
