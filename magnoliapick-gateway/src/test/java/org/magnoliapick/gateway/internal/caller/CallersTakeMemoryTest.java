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

/** Guards against callers that end the process by the memory that their requests take. */
final class CallersTakeMemoryTest {
    private static final int HEADER_MILLIS = 1_000;
    private static final int IDLE_MILLIS = 10_000;
    private static final String HEAD = "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n";

    private final CallerMemory mMemory = new CallerMemory(1 << 20);
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
        mServer = new CallerServer(mGroup, relays, log, mClockMillis::get, mMemory);
        setIdleTimeout(IDLE_MILLIS);
        mChannel = connectCaller();
    }

    private EmbeddedChannel connectCaller() {
        EmbeddedChannel channel = new EmbeddedChannel();
        mServer.addHandlers(channel.pipeline());
        channel.pipeline().fireChannelActive();
        return channel;
    }

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
        mGroup.shutdownGracefully();
        mLoop.shutdownGracefully();
    }

    private void setIdleTimeout(long millis) {
        mServer.setLimits(new CallerLimits(16_384, 2 << 20, HEADER_MILLIS, millis));
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

    private long usedBytes(CallerMemory.Kind kind) {
        return mMemory.usedBytes(kind);
    }

    /** Decoded, the lines would cost a hundred times their text. */
    @Test
    void keepsAnUnfinishedHeadAsRawBytes() {
        read(HEAD + "a:\r\n".repeat(3_000));
        assertThat(usedBytes(CallerMemory.Kind.HEAD)).isZero();
        assertThat(usedBytes(CallerMemory.Kind.UNDECODED)).isBetween(12_000L, 64_000L);
        assertThat(written()).isEmpty();
    }

    /** Breaks of lines are not counted, so this is within the limit. */
    @Test
    void answersALargeHeadThatArrivesByteByByte() {
        for (char each : (HEAD + "a:\r\n".repeat(3_000) + "\r\n").toCharArray()) {
            read(String.valueOf(each));
        }
        assertThat(written()).startsWith("HTTP/1.1 503 ").doesNotContain("connection: close");
        assertThat(usedBytes(CallerMemory.Kind.HEAD)).isZero();
    }

    @Test
    void rejectsAHeadThatIsTooLongBeforeItsEnd() {
        read(HEAD + "a: " + "b".repeat(17_000));
        assertThat(written()).startsWith("HTTP/1.1 431 ");
    }

    @Test
    void rejectsAFirstLineThatIsTooLongBeforeItsEnd() {
        read("GET /" + "b".repeat(9_000));
        assertThat(written()).startsWith("HTTP/1.1 414 ");
    }

    @Test
    void allocatesForABodyOnlyAsItArrives() {
        read(HEAD + "Content-Length: 1000000\r\n\r\nx");
        assertThat(usedBytes(CallerMemory.Kind.BODY)).isBetween(1L, 16_384L);
    }

    @Test
    void chunksOfOneByteShareABuffer() {
        read(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(1_000));
        assertThat(usedBytes(CallerMemory.Kind.BODY)).isBetween(1_000L, 2_048L);
    }

    @Test
    void rejectsTheLargestBodyWhenMemoryIsShort() {
        EmbeddedChannel other = connectCaller();
        other.writeInbound(
                Unpooled.copiedBuffer(
                        HEAD + "Content-Length: 500000\r\n\r\n" + "x".repeat(400_000),
                        StandardCharsets.ISO_8859_1));
        read(HEAD + "Content-Length: 2000000\r\n\r\n" + "x".repeat(600_000));
        assertThat(written())
                .startsWith("HTTP/1.1 503 ")
                .contains("retry-after: 1")
                .contains("connection: close");
        assertThat(mChannel.isOpen()).isFalse();
        assertThat(other.isOpen()).isTrue();
        other.finishAndReleaseAll();
        assertThat(mMemory.usedBytes()).isZero();
    }

    @Test
    void rejectsABodyWithoutProgress() {
        read(HEAD + "Content-Length: 10\r\n\r\nx");
        sweepAfter(1);
        sweepAfter(IDLE_MILLIS);
        read("x");
        sweepAfter(1);
        sweepAfter(IDLE_MILLIS + 1);
        assertThat(written()).isEmpty();
        sweepAfter(1);
        assertThat(written()).startsWith("HTTP/1.1 408 ").contains("connection: close");
    }

    /** Trailers are decoded line by line. */
    @Test
    void countsTrailersByTheirLines() {
        read(HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + "a:b\r\n".repeat(2_000));
        assertThat(usedBytes(CallerMemory.Kind.HEAD)).isGreaterThan(300_000);
    }

    @Test
    void closesTheConnectionThatIsIdleLongestWhenThereAreTooMany() {
        mServer.setMaxDescriptors(204);
        EmbeddedChannel second = connectCaller();
        read(HEAD + "\r\n");
        EmbeddedChannel third = connectCaller();
        assertThat(second.isOpen()).isFalse();
        assertThat(mChannel.isOpen()).isTrue();
        assertThat(third.isOpen()).isTrue();
        third.finishAndReleaseAll();
    }
}
