package org.magnoliapick.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.util.Optional;
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
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.relay.FleetRetryBudget;

/** Guards against wrong or missing answers after a fault between two steps of a request. */
@Timeout(20)
final class FaultBetweenStepsLosesAnswerTest {
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoop mLoop = mGroup.next();
    private final FakeCallerResponse mResponse = new FakeCallerResponse();
    private FakeServer mUpstream;
    private FakeDialect mDialect;
    private RelayContext mContext;
    private Relays mRelays;
    private Pools mPools;

    /** The number of the following clock reads that fail. All fields are used on the loop only. */
    private int mClockFaults;

    private boolean mFailStart;
    private boolean mFailFlush;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new FakeServer(FaultBetweenStepsLosesAnswerTest::respond);
        mDialect = new FakeDialect(mUpstream.port());
        EventLog log =
                new EventLog(
                        new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream())),
                        () -> 0);
        mContext =
                new RelayContext(
                        mLoop,
                        TestSettings.DOMAIN,
                        this::nowMillis,
                        mDialect,
                        new FleetRetryBudget(1, 100, 10_000, 1),
                        log);
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.put(
                mDialect.readUpstream(new UpstreamId("u0"), new byte[0]).orElseThrow(),
                1,
                1_000_000);
        directory.listAvailable(1_000_000);
        mRelays = new Relays(mContext);
        mPools =
                new Pools(
                        new Connector(mGroup),
                        new PoolSettings(4_000, 8),
                        directory,
                        mContext.quarantine(),
                        mContext.rateLimits(),
                        mContext.pauses(),
                        this::execute);
        mPools.setDispatcher(Optional::empty, this::flush, () -> {});
        mRelays.setPools(mPools);
    }

    private static boolean respond(String request, Socket socket) throws IOException {
        if (request.contains("Id: lost")) {
            return false;
        }
        FakeServer.write(socket, RunningGateway.response(request));
        return true;
    }

    @AfterEach
    void close() throws Exception {
        mGroup.shutdownGracefully();
        mUpstream.close();
    }

    private long nowMillis() {
        if (mClockFaults > 0) {
            mClockFaults--;
            throw new IllegalStateException("clock");
        }
        return 1_000_000;
    }

    private void flush() {
        if (mFailFlush) {
            mFailFlush = false;
            throw new IllegalStateException("flush");
        }
    }

    private void execute(PoolAction action) {
        mClockFaults = mFailStart ? 1 : 0;
        mFailStart = false;
        mRelays.execute(action);
    }

    private void configure() {
        mContext.applyConfig(mDialect.readConfig("", new byte[0]).orElseThrow());
    }

    private void accept(String id, CallerResponse response) {
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/unsafe/x");
        head.headers().set("Host", "127.0.0.1").set("Id", id);
        mRelays.accept(head, Unpooled.buffer(), response, 1_000_000);
    }

    @Test
    void reportsThatARequestMayHaveRunIfTheEndOfItsAttemptFails() throws Exception {
        mLoop.submit(this::configure).get();
        mLoop.submit(
                        () -> {
                            accept("lost", mResponse);
                            mFailFlush = true;
                        })
                .get();
        assertThat(mResponse.outcome().get()).isEqualTo("fail INTERNAL_AFTER_START");
    }

    @Test
    void endsARequestWhoseErrorResponseFails() throws Exception {
        mResponse.failError();
        // Without a configuration, the request is rejected.
        mLoop.submit(() -> accept("lost", mResponse)).get();
        assertThat(mResponse.outcome()).isDone();
        assertThat(mRelays.inFlight()).isZero();
    }

    @Test
    void freesTheUpstreamOfARequestWhoseStartFails() throws Exception {
        mLoop.submit(
                        () -> {
                            configure();
                            mFailStart = true;
                            accept("lost", mResponse);
                        })
                .get();
        assertThat(mResponse.outcome().get()).isEqualTo("fail INTERNAL");
        assertThat(
                        mLoop.submit(
                                        () ->
                                                mPools.pools()
                                                        .get("s")
                                                        .scheduler()
                                                        .ownUse(1_000_000)
                                                        .uses())
                                .get())
                .isEmpty();
    }

    /** The connection is back in use when the fault ends the request that used it before. */
    @Test
    void keepsTheConnectionThatTheNextRequestUses() throws Exception {
        FakeCallerResponse next = new FakeCallerResponse();
        mResponse.onComplete(
                () -> {
                    accept("2", next);
                    throw new IllegalStateException("response");
                });
        mLoop.submit(
                        () -> {
                            configure();
                            accept("1", mResponse);
                        })
                .get();
        assertThat(next.outcome().get()).isEqualTo("complete");
        assertThat(mUpstream.connectionCount()).isEqualTo(1);
    }
}
