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
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.relay.FleetRetryBudget;

/** Guards against requests that are sent on for callers that have disconnected. */
@Timeout(20)
final class CallerGoneBeforeSendTest {
    private static final long START_MILLIS = 1_000_000;

    /** Longer than the loop may be late without being behind. */
    private static final long LATE_MILLIS = 60;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoop mLoop = mGroup.next();
    private final AtomicLong mNowMillis = new AtomicLong(START_MILLIS);
    private FakeServer mUpstream;
    private Relays mRelays;
    private RelayContext mContext;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new FakeServer(this::respond);
        FakeDialect dialect = new FakeDialect(mUpstream.port());
        EventLog log =
                new EventLog(
                        new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream())),
                        mNowMillis::get);
        mContext =
                new RelayContext(
                        mLoop,
                        TestSettings.DOMAIN,
                        mNowMillis::get,
                        dialect,
                        new FleetRetryBudget(1, 100, 10_000, 1),
                        log);
        mContext.applyConfig(dialect.readConfig("", new byte[0]).orElseThrow());
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.put(
                dialect.readUpstream(new UpstreamId("u0"), new byte[0]).orElseThrow(),
                1,
                START_MILLIS);
        directory.listAvailable(START_MILLIS);
        mRelays = new Relays(mContext);
        Pools pools =
                new Pools(
                        new Connector(mGroup),
                        new PoolSettings(4_000, 8),
                        directory,
                        mContext.quarantine(),
                        mContext.rateLimits(),
                        mContext.pauses(),
                        mRelays::execute);
        pools.setDispatcher(Optional::empty, () -> {}, () -> {});
        mRelays.setPools(pools);
    }

    private boolean respond(String request, Socket socket) throws IOException {
        FakeServer.write(socket, RunningGateway.response(request));
        return true;
    }

    @AfterEach
    void close() throws Exception {
        mGroup.shutdownGracefully();
        mUpstream.close();
    }

    private FakeCallerResponse accept(String route, String id) {
        FakeCallerResponse response = new FakeCallerResponse();
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + route + "/x");
        head.headers().set("Host", "127.0.0.1").set("Id", id);
        mRelays.accept(head, Unpooled.buffer(), response, mNowMillis.get());
        return response;
    }

    private void awaitAnswer(String id) throws Exception {
        assertThat(mLoop.submit(() -> accept("unsafe", id)).get().outcome().get())
                .isEqualTo("complete");
        assertThat(mUpstream.requests().take()).contains("Id: " + id + "\r\n");
    }

    /** Accepts a request on a late loop; its caller's disconnect is read later in the same turn. */
    private void acceptAndDisconnect() {
        mContext.admission()
                .decide(
                        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"),
                        mNowMillis.get());
        mNowMillis.addAndGet(LATE_MILLIS);
        accept("unsafe", "gone").disconnect();
    }

    @Test
    void aDisconnectThatALateLoopHasNotReadYetIsNoticedBeforeTheRequestIsSent() throws Exception {
        mContext.admission().setEnabled(true);
        // Leaves an idle connection, on which a request would be sent at once.
        awaitAnswer("before");

        mLoop.submit(this::acceptAndDisconnect).get();

        awaitAnswer("after");
        StringBuilder counters = new StringBuilder();
        mLoop.submit(() -> mContext.counters().write(counters)).get();
        assertThat(counters.toString()).contains("{kind=\"caller-gone\"} 1\n");
    }
}
