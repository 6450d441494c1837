package org.magnoliapick.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
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
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.DomainEvacuation;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.relay.FleetRetryBudget;

/**
 * Guards against requests that were placed at an upstream before its domain was evacuated and are
 * sent there afterwards, and against checks of its health.
 */
@Timeout(20)
final class EvacuationBeforeSendTest {
    private static final long NOW_MILLIS = 1_000;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoop mLoop = mGroup.next();
    private final UpstreamDirectory mDirectory = new UpstreamDirectory();
    private FakeServer mEvacuated;
    private FakeServer mOther;
    private Relays mRelays;
    private Pools mPools;

    @BeforeEach
    void start() throws Exception {
        mEvacuated = newServer();
        mOther = newServer();
        FakeDialect dialect = new FakeDialect();
        EventLog log =
                new EventLog(
                        new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream())),
                        () -> NOW_MILLIS);
        RelayContext context =
                new RelayContext(
                        mLoop,
                        TestSettings.DOMAIN,
                        () -> NOW_MILLIS,
                        dialect,
                        new FleetRetryBudget(1, 100, 10_000, 1),
                        log);
        context.applyConfig(dialect.readConfig("", new byte[0]).orElseThrow());
        mRelays = new Relays(context);
        mPools =
                new Pools(
                        new Connector(mGroup),
                        new PoolSettings(4_000, 8),
                        mDirectory,
                        context.quarantine(),
                        context.rateLimits(),
                        context.pauses(),
                        mRelays::execute);
        mPools.setDispatcher(Optional::empty, () -> {}, () -> {});
        mRelays.setPools(mPools);
    }

    private static FakeServer newServer() throws Exception {
        return new FakeServer(
                (request, socket) -> {
                    FakeServer.write(socket, RunningGateway.response(request));
                    return true;
                });
    }

    @AfterEach
    void close() throws Exception {
        mGroup.shutdownGracefully();
        mEvacuated.close();
        mOther.close();
    }

    private ListedUpstream list(String domain, int port) {
        ListedUpstream upstream =
                new ListedUpstream(
                        new UpstreamId("u" + domain),
                        "s",
                        "127.0.0.1:" + port,
                        new FailureDomain(domain),
                        4,
                        false,
                        1);
        mDirectory.put(upstream, 1, NOW_MILLIS);
        mPools.upstreamsChanged(NOW_MILLIS);
        return upstream;
    }

    private void evacuate(String domain) {
        mDirectory.evacuated().apply(new DomainEvacuation(new FailureDomain(domain), true, 1, 1));
        mPools.upstreamsChanged(NOW_MILLIS);
    }

    private FakeCallerResponse accept() {
        FakeCallerResponse response = new FakeCallerResponse();
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/unsafe/x");
        head.headers().set("Host", "127.0.0.1").set("Id", "1");
        mRelays.accept(head, Unpooled.buffer(), response, NOW_MILLIS);
        return response;
    }

    /** The connection to the upstream opens after the step that evacuates its domain. */
    @Test
    void placesARequestAgainThatWasNotSentYet() throws Exception {
        FakeCallerResponse response =
                mLoop.submit(
                                () -> {
                                    list("b", mEvacuated.port());
                                    FakeCallerResponse placed = accept();
                                    list("c", mOther.port());
                                    evacuate("b");
                                    return placed;
                                })
                        .get();
        assertThat(response.outcome().get()).isEqualTo("complete");
        assertThat(mEvacuated.connectionCount()).isEqualTo(1);
        assertThat(mEvacuated.requests()).isEmpty();
        assertThat(mOther.requests()).hasSize(1);
    }

    @Test
    void rejectsItIfNoOtherDomainIsLeft() throws Exception {
        FakeCallerResponse response =
                mLoop.submit(
                                () -> {
                                    list("b", mEvacuated.port());
                                    FakeCallerResponse placed = accept();
                                    evacuate("b");
                                    return placed;
                                })
                        .get();
        assertThat(response.outcome().get()).startsWith("error ");
        assertThat(mEvacuated.requests()).isEmpty();
    }

    /** Both ports refuse connections; the check of the second upstream begins later. */
    @Test
    void doesNotCheckWhetherAnUpstreamCrashed() throws Exception {
        mEvacuated.close();
        mOther.close();
        AtomicBoolean evacuatedChecked = new AtomicBoolean();
        CompletableFuture<Void> otherChecked = new CompletableFuture<>();
        mLoop.submit(
                        () -> {
                            ListedUpstream evacuated = list("b", mEvacuated.port());
                            ListedUpstream other = list("c", mOther.port());
                            evacuate("b");
                            mPools.checkCrash(
                                    evacuated, () -> NOW_MILLIS, () -> evacuatedChecked.set(true));
                            mPools.checkCrash(
                                    other, () -> NOW_MILLIS, () -> otherChecked.complete(null));
                        })
                .get();
        otherChecked.get();
        assertThat(evacuatedChecked).isFalse();
    }
}
