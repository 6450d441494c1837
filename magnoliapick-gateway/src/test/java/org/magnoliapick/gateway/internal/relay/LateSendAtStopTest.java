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
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.relay.FleetRetryBudget;
import org.magnoliapick.relay.StopPlan;

/** Guards against requests that waited and are sent on when a stop is about to cut them off. */
@Timeout(20)
final class LateSendAtStopTest {
    private static final long START_MILLIS = 1_000_000;
    private static final long GRACE_MILLIS = 400;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoop mLoop = mGroup.next();
    private final AtomicLong mNowMillis = new AtomicLong(START_MILLIS);
    private final CountDownLatch mAnswer = new CountDownLatch(1);
    private FakeServer mUpstream;
    private Relays mRelays;
    private Pools mPools;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new FakeServer(this::respond);
        FakeDialect dialect = new FakeDialect(mUpstream.port());
        EventLog log =
                new EventLog(
                        new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream())),
                        mNowMillis::get);
        RelayContext context =
                new RelayContext(
                        mLoop,
                        TestSettings.DOMAIN,
                        mNowMillis::get,
                        dialect,
                        new FleetRetryBudget(1, 100, 10_000, 1),
                        log);
        context.applyConfig(dialect.readConfig("", new byte[0]).orElseThrow());
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.put(
                dialect.readUpstream(new UpstreamId("u0"), new byte[0]).orElseThrow(),
                1,
                START_MILLIS);
        directory.listAvailable(START_MILLIS);
        mRelays = new Relays(context);
        mPools =
                new Pools(
                        new Connector(mGroup),
                        new PoolSettings(4_000, 8),
                        directory,
                        context.quarantine(),
                        context.rateLimits(),
                        context.pauses(),
                        mRelays::execute);
        mPools.setDispatcher(Optional::empty, () -> {}, () -> {});
        mRelays.setPools(mPools);
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

    @AfterEach
    void close() throws Exception {
        mAnswer.countDown();
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

    /** Sends requests until one waits; returns the response to that. */
    private FakeCallerResponse acceptUntilOneWaits(String route) throws Exception {
        return mLoop.submit(
                        () -> {
                            FakeCallerResponse last = accept(route, "0");
                            for (int i = 1; mPools.waitingCount() == 0; i++) {
                                last = accept(route, "" + i);
                            }
                            return last;
                        })
                .get();
    }

    private void stopAndAdvance(long millis) throws Exception {
        mLoop.submit(
                        () -> {
                            mRelays.setStopPlan(new StopPlan(mNowMillis.get(), GRACE_MILLIS));
                            mNowMillis.addAndGet(millis);
                            mRelays.tick(mNowMillis.get());
                        })
                .get();
    }

    @Test
    void refusesARequestThatMayNotBeRepeated() throws Exception {
        FakeCallerResponse waiting = acceptUntilOneWaits("unsafe");
        stopAndAdvance(GRACE_MILLIS / 2);
        assertThat(waiting.outcome()).isCompletedWithValue("error NOT_READY");
        assertThat(mLoop.submit(mPools::waitingCount).get()).isZero();
    }

    @Test
    void sendsAWaitingRequestWhileThereIsTime() throws Exception {
        FakeCallerResponse waiting = acceptUntilOneWaits("unsafe");
        stopAndAdvance(GRACE_MILLIS / 4);
        assertThat(waiting.outcome()).isNotDone();
        mAnswer.countDown();
        assertThat(waiting.outcome().get()).isEqualTo("complete");
    }

    /** Its caller may send it again if it is cut off. */
    @Test
    void sendsARequestThatMayBeRepeatedUntilTheEnd() throws Exception {
        FakeCallerResponse waiting = acceptUntilOneWaits("safe");
        stopAndAdvance(GRACE_MILLIS / 2);
        assertThat(waiting.outcome()).isNotDone();
        mAnswer.countDown();
        assertThat(waiting.outcome().get()).isEqualTo("complete");
    }

    @Test
    void refusesAtThePlacementWhatNoTickHasRefused() throws Exception {
        FakeCallerResponse waiting = acceptUntilOneWaits("unsafe");
        mLoop.submit(
                        () -> {
                            mRelays.setStopPlan(new StopPlan(START_MILLIS, GRACE_MILLIS));
                            mNowMillis.addAndGet(GRACE_MILLIS / 2);
                        })
                .get();
        mAnswer.countDown();
        assertThat(waiting.outcome().get()).isEqualTo("error NOT_READY");
    }
}
