package org.magnoliapick.gateway.internal.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.ReferenceCountUtil;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
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

/** Guards against responses that stay unwritten after a fault, with the connection left open. */
final class UnwrittenResponseTest {
    private static final long NOW_MILLIS = 1_000_000;
    private static final String REQUEST = "GET /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final DefaultEventLoop mLoop = new DefaultEventLoop();
    private RelayContext mContext;
    private Pools mPools;
    private EmbeddedChannel mChannel;

    /** The number of clock reads of the server until one fails; negative if none does. */
    private int mReadsUntilFault = -1;

    @BeforeEach
    void connect() {
        EventLog log =
                new EventLog(
                        new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream())),
                        () -> NOW_MILLIS);
        mContext =
                new RelayContext(
                        mLoop,
                        TestSettings.DOMAIN,
                        () -> NOW_MILLIS,
                        new FakeDialect(),
                        new FleetRetryBudget(1, 100, 10_000, 1),
                        log);
        Relays relays = new Relays(mContext);
        mPools =
                new Pools(
                        new Connector(mGroup),
                        new PoolSettings(4_000, 8),
                        new UpstreamDirectory(),
                        mContext.quarantine(),
                        mContext.rateLimits(),
                        mContext.pauses(),
                        relays::execute);
        relays.setPools(mPools);
        mChannel = new EmbeddedChannel();
        new CallerServer(mGroup, relays, log, this::nowMillis, new CallerMemory(1 << 20))
                .addHandlers(mChannel.pipeline());
        mChannel.pipeline().fireChannelActive();
    }

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
        mGroup.shutdownGracefully();
        mLoop.shutdownGracefully();
    }

    private long nowMillis() {
        if (mReadsUntilFault-- == 0) {
            throw new IllegalStateException("clock");
        }
        return NOW_MILLIS;
    }

    private void read(String bytes) {
        mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        mChannel.runPendingTasks();
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

    /** Reads a request that waits for an upstream, and others with it. */
    private void readWaitingRequest(String others) {
        mContext.applyConfig(new FakeDialect().readConfig("", new byte[0]).orElseThrow());
        read("POST /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\n\r\n" + others);
        assertThat(written()).isEmpty();
    }

    private void refuseWaitingRequest() {
        mPools.tick(NOW_MILLIS + 10_000);
        mChannel.runPendingTasks();
    }

    /** The clock is read when the head arrives and after the response. */
    @Test
    void writesAResponseThatIsFollowedByAFault() {
        mReadsUntilFault = 1;
        read(REQUEST);
        assertThat(written()).startsWith("HTTP/1.1 503 ");
    }

    @Test
    void closesAConnectionWhoseResponseCannotBeWritten() {
        mChannel.pipeline()
                .addFirst(
                        new ChannelOutboundHandlerAdapter() {
                            @Override
                            public void write(
                                    ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
                                ReferenceCountUtil.release(msg);
                                promise.setFailure(new IllegalStateException("encoder"));
                            }
                        });
        read(REQUEST);
        assertThat(mChannel.isOpen()).isFalse();
    }

    /** The clock is read after the first response and when the next head is handled. */
    @Test
    void answersARequestWhoseHandlingFailsAfterThePreviousResponse() {
        readWaitingRequest(REQUEST);
        mReadsUntilFault = 1;
        refuseWaitingRequest();
        assertThat(written()).matches("(?s)HTTP/1.1 503 .*HTTP/1.1 500 .*connection: close.*");
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void answersManyRequestsThatAreReadAtOnce() {
        int count = 3_500;
        readWaitingRequest("GET / HTTP/1.1\r\n\r\n".repeat(count));
        refuseWaitingRequest();
        assertThat(written().split("HTTP/1.1 400 ", -1)).hasSize(count + 1);
    }
}
