package org.magnoliapick.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.magnoliapick.gateway.TestSettings;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLineWriter;
import org.magnoliapick.gateway.internal.relay.Pools;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.limit.UpstreamPauses;
import org.magnoliapick.member.Member;
import org.magnoliapick.member.StorePosition;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.member.StoreUpdate;
import org.magnoliapick.pool.InstancePacket;
import org.magnoliapick.pool.InstanceReport;
import org.magnoliapick.pool.PoolSettings;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.pool.UpstreamNotices;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.rpc.UsePacketCodec;

@Timeout(60)
final class PeerSocketTest {
    private static final LongSupplier CLOCK = () -> 1_000;

    private final EventLoopGroup mLoop = new NioEventLoopGroup(1);

    @AfterEach
    void stop() {
        mLoop.shutdownGracefully();
    }

    @Test
    void receivesALargeFleetReportUntruncated() throws Exception {
        PeerSocket socket = socket();
        int port = socket.listen();
        byte[] report = report(400);
        assertThat(report.length).isGreaterThan(4_096);
        try (DatagramSocket sender = new DatagramSocket()) {
            InetSocketAddress to = new InetSocketAddress("127.0.0.1", port);
            sender.send(new DatagramPacket(report, report.length, to));
        }
        int liveCount = 0;
        while (liveCount == 0) {
            mLoop.submit(() -> socket.tick(CLOCK.getAsLong())).sync();
            liveCount = socket.liveCount();
        }
        // The sender and the 400 instances that it reports as reachable.
        assertThat(liveCount).isEqualTo(401);
    }

    private PeerSocket socket() {
        JsonLineWriter lines = new JsonLineWriter(new PrintStream(OutputStream.nullOutputStream()));
        Pools pools =
                new Pools(
                        new Connector(mLoop),
                        new PoolSettings(4_000, 100),
                        new UpstreamDirectory(),
                        new PromptQuarantine(),
                        new RateLimits(),
                        new UpstreamPauses(),
                        action -> {});
        return new PeerSocket(
                mLoop,
                TestSettings.withStore(0),
                pools,
                new EventLog(lines, CLOCK),
                CLOCK,
                new StoreRelay(2_000, 2_000),
                new PromptQuarantine(),
                new RateLimits(),
                new StorePeers() {
                    @Override
                    public void positionReported(StorePosition position) {}

                    @Override
                    public void updateReceived(StoreUpdate update) {}
                });
    }

    private static Member member(int number) {
        return new Member(
                new InstanceId("other" + number),
                TestSettings.DOMAIN,
                "127.0.1." + Math.floorMod(number, 250) + ":" + (7_001 + number),
                1_000);
    }

    private static byte[] report(int knownInstances) {
        List<Member> known =
                IntStream.range(0, knownInstances).mapToObj(PeerSocketTest::member).toList();
        InstanceReport report =
                new InstanceReport(
                        member(-1),
                        1,
                        1,
                        false,
                        false,
                        List.of(),
                        0,
                        StorePosition.UNKNOWN,
                        Map.of(),
                        known);
        InstancePacket packet =
                new InstancePacket(
                        report.sender().instance(),
                        report.sender().address(),
                        Optional.of(report),
                        Map.of(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        UpstreamNotices.NONE,
                        List.of());
        return UsePacketCodec.encode(packet, CLOCK.getAsLong());
    }
}
