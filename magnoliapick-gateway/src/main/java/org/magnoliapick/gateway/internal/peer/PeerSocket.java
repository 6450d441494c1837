package org.magnoliapick.gateway.internal.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.relay.Pools;
import org.magnoliapick.member.PeerTable;
import org.magnoliapick.pool.InstanceReport;
import org.magnoliapick.pool.PoolScheduler;
import org.magnoliapick.pool.PoolUse;
import org.magnoliapick.rpc.UseCodec;

/**
 * Tells the other instances of this one's use of the upstreams and takes theirs, by datagrams: each
 * holds the whole present state, so a lost one is made up for by the next.
 */
public final class PeerSocket {
    private final EventLoopGroup mLoop;
    private final GatewaySettings mSettings;
    private final Pools mPools;
    private final EventLog mLog;
    private final LongSupplier mClockMillis;
    private final PeerTable mTable;
    private final long mStartedMillis;
    private Channel mChannel;
    private long mSequence;
    private int mLive;

    /** Creates a socket that is not bound. */
    public PeerSocket(
            EventLoopGroup loop,
            GatewaySettings settings,
            Pools pools,
            EventLog log,
            LongSupplier clockMillis) {
        mLoop = loop;
        mSettings = settings;
        mPools = pools;
        mLog = log;
        mClockMillis = clockMillis;
        mStartedMillis = clockMillis.getAsLong();
        // All instances listen at the same port; a seed is named by another one of its ports.
        List<String> seeds = new ArrayList<>();
        for (AddressPort seed : settings.seeds()) {
            seeds.add(new AddressPort(seed.host(), settings.peers().port()).toString());
        }
        mTable =
                new PeerTable(
                        settings.domain(), settings.peers().toString(), seeds, mStartedMillis);
    }

    /**
     * Binds the socket.
     *
     * @throws InterruptedException if interrupted before the address was bound
     */
    public void listen() throws InterruptedException {
        mChannel =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Receiving())
                        .bind(mSettings.peers().socketAddress())
                        .sync()
                        .channel();
    }

    /** Tells those who are due. */
    public void tick(long nowMillis) {
        List<String> due = mTable.due(nowMillis);
        if (!due.isEmpty()) {
            byte[] bytes = UseCodec.encode(report(nowMillis));
            for (String address : due) {
                mChannel.write(
                        new DatagramPacket(
                                Unpooled.wrappedBuffer(bytes),
                                AddressPort.parse(address).socketAddress()),
                        mChannel.voidPromise());
            }
            mChannel.flush();
        }
        int live = mTable.live(nowMillis);
        if (live != mLive) {
            mLog.line("peers.changed").with("before", mLive).with("live", live).log();
            mLive = live;
        }
    }

    private InstanceReport report(long nowMillis) {
        List<PoolUse> pools = new ArrayList<>();
        for (PoolScheduler pool : mPools.pools().values()) {
            pools.add(pool.own(nowMillis));
        }
        return new InstanceReport(
                mSettings.instance(),
                mSettings.domain(),
                mSettings.peers().toString(),
                mStartedMillis,
                ++mSequence,
                pools,
                mTable.knownToTell(nowMillis));
    }

    private void heard(InstanceReport report) {
        long nowMillis = mClockMillis.getAsLong();
        if (mTable.heard(report, nowMillis)) {
            mPools.peer(report, nowMillis);
        }
    }

    private final class Receiving extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            UseCodec.decode(bytes)
                    .ifPresentOrElse(
                            PeerSocket.this::heard,
                            () ->
                                    mLog.line("peers.unreadable")
                                            .with("from", packet.sender())
                                            .log());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // An instance that is down answers datagrams with an error; it is told again later.
            mLog.line("peers.fault").with("fault", cause).log();
        }
    }
}
