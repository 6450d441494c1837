package org.magnoliapick.gateway.internal.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliapick.gateway.FakeDialect;
import org.magnoliapick.gateway.TestSettings;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLineWriter;
import org.magnoliapick.gateway.internal.relay.Pools;
import org.magnoliapick.gateway.internal.relay.RelayContext;
import org.magnoliapick.gateway.internal.relay.Relays;
import org.magnoliapick.memory.CallerMemory;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.relay.FleetRetryBudget;
import org.magnoliapick.route.CallerLimits;

/** Guards against requests that are lost because their connection is closed as idle. */
final class IdleConnectionLosesRequestTest {
    private static final int HEADER_MILLIS = 1_000;
    private static final int IDLE_MILLIS = 10_000;
    private static final String REQUEST = "GET /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";

    /** The server has no configuration, so each request that is read gets this response. */
    private static final String RESPONSE = "HTTP/1.1 503 ";

    private final AtomicLong mClockMillis = new AtomicLong(1_000_000);
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final DefaultEventLoop mLoop = new DefaultEventLoop();
    private CallerServer mServer;
    private EmbeddedChannel mChannel;

    @BeforeEach
    void connect() {
        JsonLineWriter writer =
                new JsonLineWriter(
                        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
        EventLog log = new EventLog(writer, mClockMillis::get);
        RelayContext context =
                new RelayContext(
                        mLoop,
                        TestSettings.DOMAIN,
                        mClockMillis::get,
                        new FakeDialect(),
                        new FleetRetryBudget(1, 100, 10_000, 1),
                        log);
        Relays relays = new Relays(context);
        relays.setPools(
                new Pools(
                        new Connector(mGroup),
                        new PoolSettings(4_000, 8),
                        new UpstreamDirectory(),
                        context.quarantine(),
                        context.rateLimits(),
                        context.pauses(),
                        relays::execute));
        mServer =
                new CallerServer(mGroup, relays, log, mClockMillis::get, new CallerMemory(1 << 20));
        setIdleTimeout(IDLE_MILLIS);
        mChannel = new EmbeddedChannel();
        mServer.addHandlers(mChannel.pipeline());
        mChannel.pipeline().fireChannelActive();
    }

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
        mGroup.shutdownGracefully();
        mLoop.shutdownGracefully();
    }

    private void setIdleTimeout(long millis) {
        mServer.setLimits(new CallerLimits(16_384, 4_096, HEADER_MILLIS, millis));
    }

    private void sweepAfter(long millis) {
        mServer.sweep(mClockMillis.addAndGet(millis));
        mChannel.runPendingTasks();
    }

    private void read(String bytes) {
        mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    private String written() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf bytes = mChannel.readOutbound();
                bytes != null;
                bytes = mChannel.readOutbound()) {
            text.append(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
        }
        return text.toString();
    }

    /** The sweep may run before the sockets are read that became readable on a busy event loop. */
    @Test
    void answersARequestThatWasUnreadWhenTheConnectionBecameOverdue() {
        sweepAfter(IDLE_MILLIS + 1);
        read(REQUEST);
        assertThat(written()).startsWith(RESPONSE);
    }

    @Test
    void answersARequestThatWasUnreadWhenTheServerBeganToClose() {
        mServer.startDraining();
        mServer.closeWhenIdle();
        sweepAfter(1);
        read(REQUEST);
        assertThat(written()).startsWith(RESPONSE).contains("connection: close");
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void answersARequestWhoseHeadArrivesInPartsAroundTheIdleTimeout() {
        sweepAfter(IDLE_MILLIS - 10);
        read(REQUEST.substring(0, 20));
        sweepAfter(200);
        sweepAfter(200);
        read(REQUEST.substring(20));
        assertThat(written()).startsWith(RESPONSE);
    }

    @Test
    void answersARequestWhoseHeadArrivesInPartsWhileTheServerCloses() {
        read(REQUEST.substring(0, 3));
        mServer.startDraining();
        mServer.closeWhenIdle();
        sweepAfter(200);
        sweepAfter(200);
        read(REQUEST.substring(3));
        assertThat(written()).startsWith(RESPONSE);
    }

    @Test
    void answersARequestWhoseFirstBytesCameWithThePreviousOne() {
        read(REQUEST + REQUEST.substring(0, 1));
        assertThat(written()).startsWith(RESPONSE);
        sweepAfter(HEADER_MILLIS);
        sweepAfter(HEADER_MILLIS);
        read(REQUEST.substring(1));
        assertThat(written()).startsWith(RESPONSE);
    }

    /** The status tells the caller that the request did not run, so that it sends it again. */
    @Test
    void rejectsAHeadThatIsOverdueWithRequestTimeout() {
        read(REQUEST.substring(0, 20));
        sweepAfter(1);
        sweepAfter(HEADER_MILLIS);
        assertThat(written()).isEmpty();
        sweepAfter(1);
        sweepAfter(1);
        assertThat(written()).startsWith("HTTP/1.1 408 ").contains("connection: close");
        assertThat(mChannel.isOpen()).isFalse();
    }

    /** A caller may use four fifths of the limit that was in force when its response ended. */
    @Test
    void answersARequestThatIsInTimeByTheFormerIdleTimeout() {
        read(REQUEST);
        assertThat(written()).startsWith(RESPONSE);
        setIdleTimeout(IDLE_MILLIS / 10);
        sweepAfter(IDLE_MILLIS * 4 / 5 - 2);
        sweepAfter(1);
        sweepAfter(1);
        read(REQUEST);
        assertThat(written()).startsWith(RESPONSE);
    }

    @Test
    void appliesALowerIdleTimeoutFromTheNextResponseOn() {
        setIdleTimeout(IDLE_MILLIS / 10);
        read(REQUEST);
        sweepAfter(IDLE_MILLIS / 10 + 1);
        sweepAfter(1);
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void appliesAHigherIdleTimeoutAtOnce() {
        setIdleTimeout(IDLE_MILLIS * 2);
        sweepAfter(IDLE_MILLIS + 1);
        sweepAfter(1);
        assertThat(mChannel.isOpen()).isTrue();
    }

    @Test
    void closesAnIdleConnection() {
        read(REQUEST);
        sweepAfter(IDLE_MILLIS);
        sweepAfter(1);
        assertThat(mChannel.isOpen()).isTrue();
        sweepAfter(1);
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void treatsLineBreaksAfterARequestAsIdle() {
        read(REQUEST + "\r\n");
        sweepAfter(IDLE_MILLIS + 1);
        sweepAfter(1);
        assertThat(mChannel.isOpen()).isFalse();
    }
}
