package org.magnoliapick.gateway.internal.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.relay.Pools;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.member.Member;
import org.magnoliapick.member.PeerTable;
import org.magnoliapick.member.StoreUpdate;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.member.PendingReport;
import org.magnoliapick.pool.InstancePacket;
import org.magnoliapick.pool.InstanceReport;
import org.magnoliapick.pool.PoolMessage;
import org.magnoliapick.pool.ServicePool;
import org.magnoliapick.pool.PoolUse;
import org.magnoliapick.rpc.UsePacketCodec;

/**
 * Tells the other instances of this one's use of the upstreams and takes theirs, by datagrams: each
 * holds the whole present state, so a lost one is made up for by the next.
 */
public final class PeerSocket {
    /** The largest datagram; of a larger one than the buffer only the beginning would arrive. */
    private static final int MOST_BYTES = 65_535;

    /** After how long without a tick this instance counts as held up, in milliseconds. */
    private static final long LAG_MILLIS = 1_000;

    /** How long changes and replies wait for others to go with them, in milliseconds. */
    private static final long FLUSH_MILLIS = 10;

    /** How long after its start an instance does not decide for others, in milliseconds. */
    private static final long YOUNG_MILLIS = 3_000;

    /** How long after it was held up an instance does not decide for others, in milliseconds. */
    private static final long RECOVERY_MILLIS = 2_000;

    private final EventLoopGroup mLoop;
    private final GatewaySettings mSettings;
    private final Pools mPools;
    private final EventLog mLog;
    private final LongSupplier mClockMillis;
    private final PeerTable mTable;
    private final StoreRelay mRelay;
    private final Consumer<StoreUpdate> mNewsSink;
    private final long mStartedMillis;
    private InstanceId mDispatcher;
    private long mTickedMillis;
    private Channel mChannel;
    private boolean mWoken;
    private boolean mFlushDue;
    private boolean mStopping;
    private long mLaggedMillis = Long.MIN_VALUE / 2;
    private long mSequence;
    private int mLive;

    /** Creates a socket that is not bound. */
    public PeerSocket(
            EventLoopGroup loop,
            GatewaySettings settings,
            Pools pools,
            EventLog log,
            LongSupplier clockMillis,
            StoreRelay relay,
            Consumer<StoreUpdate> newsSink) {
        mLoop = loop;
        mSettings = settings;
        mPools = pools;
        mLog = log;
        mClockMillis = clockMillis;
        mRelay = relay;
        mNewsSink = newsSink;
        mStartedMillis = clockMillis.getAsLong();
        // All instances listen at the same port; a seed is named by another one of its ports.
        List<String> seeds = new ArrayList<>();
        for (AddressPort seed : settings.seeds()) {
            seeds.add(new AddressPort(seed.host(), settings.peers().port()).toString());
        }
        Member self =
                new Member(
                        settings.instance(),
                        settings.domain(),
                        settings.peers().toString(),
                        settings.milliCores());
        mTable = new PeerTable(self, seeds, mStartedMillis);
    }

    /**
     * Binds the socket; returns the port, which the system chooses where the address names port 0.
     *
     * @throws InterruptedException if interrupted before the address was bound
     */
    public int listen() throws InterruptedException {
        mChannel =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioDatagramChannel.class)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MOST_BYTES))
                        .handler(new PacketHandler())
                        .bind(mSettings.peers().socketAddress())
                        .sync()
                        .channel();
        return AddressPort.portOf(mChannel.localAddress());
    }

    /** Tells those who are due. */
    public void tick(long nowMillis) {
        noteLag(nowMillis);
        flush(mTable.reportsDue(nowMillis), nowMillis);
        noteLive(nowMillis);
    }

    /** Tells some instances something, and the dispatcher what changed. */
    private void flush(List<PendingReport> due, long nowMillis) {
        Map<String, PendingReport> tellings = new HashMap<>();
        due.forEach(each -> tellings.put(each.address(), each));
        if (mPools.getAndClearDirty()) {
            dispatcherAddress(nowMillis)
                    .map(PendingReport::usageChange)
                    .ifPresent(each -> tellings.merge(each.address(), each, PendingReport::merge));
        }
        send(tellings, nowMillis);
    }

    /** Sends all waiting messages, and reports to some instances. */
    private void send(Map<String, PendingReport> tellings, long nowMillis) {
        Map<String, List<PoolMessage>> messages = new HashMap<>();
        for (PoolMessage each : mPools.takeOutbox()) {
            mTable.address(each.to())
                    .ifPresent(
                            address ->
                                    messages.computeIfAbsent(address, to -> new ArrayList<>())
                                            .add(each));
        }
        Set<String> all = new HashSet<>(messages.keySet());
        all.addAll(tellings.keySet());
        for (String address : all) {
            send(
                    address,
                    Optional.ofNullable(tellings.get(address)),
                    messages.getOrDefault(address, List.of()),
                    nowMillis);
        }
        if (!all.isEmpty()) {
            mChannel.flush();
        }
    }

    /** Tells all that are heard here what was just read in the store. */
    public void sendStoreUpdate() {
        long nowMillis = mClockMillis.getAsLong();
        if (!decidesHere(nowMillis)) {
            return;
        }
        Map<String, PendingReport> tellings = new HashMap<>();
        for (String address : mTable.directAddresses(nowMillis)) {
            PendingReport telling = PendingReport.storeUpdate(address);
            mTable.reportSent(telling, nowMillis);
            tellings.put(address, telling);
        }
        send(tellings, nowMillis);
    }

    /** Sets whether this instance stops, so that others decide for themselves in time. */
    public void beginStop() {
        mStopping = true;
        mTable.setDeclinesDuty(true);
        sendStoreUpdate();
    }

    /** An instance that was held up is no good dispatcher for some time. */
    private void noteLag(long nowMillis) {
        if (mTickedMillis > 0 && nowMillis - mTickedMillis > LAG_MILLIS) {
            mLaggedMillis = nowMillis;
            mLog.line("instance.held-up").with("millis", nowMillis - mTickedMillis).log();
        }
        mTickedMillis = nowMillis;
        boolean young = nowMillis - mStartedMillis < YOUNG_MILLIS;
        mTable.setDeclinesDuty(mStopping || young || nowMillis - mLaggedMillis < RECOVERY_MILLIS);
    }

    /**
     * Sends waiting messages as soon as the event loop has done what it is at, and changes of the
     * own use and replies a little later, so that several go together.
     */
    public void scheduleFlush() {
        if (!mWoken && mPools.hasMessages()) {
            mWoken = true;
            mLoop.next().execute(this::woken);
        } else if (mPools.isDirty()) {
            flushSoon();
        }
    }

    private void woken() {
        mWoken = false;
        flush(List.of(), mClockMillis.getAsLong());
    }

    private void flushSoon() {
        if (!mFlushDue) {
            mFlushDue = true;
            mLoop.next().schedule(this::flushNow, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void flushNow() {
        mFlushDue = false;
        long nowMillis = mClockMillis.getAsLong();
        flush(mTable.repliesDue(nowMillis), nowMillis);
    }

    private void noteLive(long nowMillis) {
        int live = mTable.liveCount(nowMillis);
        if (live != mLive) {
            mLog.line("peers.changed").with("before", mLive).with("live", live).log();
            mLive = live;
        }
    }

    /** Returns how many other instances were heard of late. */
    public int liveCount() {
        return mLive;
    }

    /** Returns which other instance decides for this one; absent if it does itself. */
    public Optional<InstanceId> remoteDispatcher() {
        InstanceId dispatcher = mTable.dispatcher(mClockMillis.getAsLong());
        if (!dispatcher.equals(mDispatcher)) {
            mDispatcher = dispatcher;
            mLog.line("dispatcher.changed").with("to", dispatcher).with("live", mLive).log();
        }
        return dispatcher.equals(mSettings.instance()) ? Optional.empty() : Optional.of(dispatcher);
    }

    private Optional<String> dispatcherAddress(long nowMillis) {
        return Optional.of(mTable.dispatcher(nowMillis))
                .filter(each -> !each.equals(mSettings.instance()))
                .flatMap(mTable::address);
    }

    private boolean decidesHere(long nowMillis) {
        return mTable.dispatcher(nowMillis).equals(mSettings.instance());
    }

    private void send(
            String address, Optional<PendingReport> telling, List<PoolMessage> messages, long nowMillis) {
        InstancePacket packet =
                new InstancePacket(
                        mSettings.instance(),
                        mSettings.peers().toString(),
                        telling.map(each -> report(each, nowMillis)),
                        telling.isPresent() ? grantsTaken(address) : Map.of(),
                        telling.filter(PendingReport::isReply)
                                .flatMap(
                                        each ->
                                                mRelay.updateFor(
                                                        mTable.listOffset(address), nowMillis)),
                        messages);
        mChannel.write(
                new DatagramPacket(
                        Unpooled.wrappedBuffer(UsePacketCodec.encode(packet, nowMillis)),
                        AddressPort.parse(address).socketAddress()),
                mChannel.voidPromise());
    }

    private Map<String, Long> grantsTaken(String address) {
        Map<String, Long> grantsTaken = new HashMap<>();
        Optional<InstanceId> to = mTable.instance(address);
        mPools.pools()
                .forEach(
                        (service, pool) ->
                                to.flatMap(pool::highestGrant)
                                        .ifPresent(grant -> grantsTaken.put(service, grant)));
        return grantsTaken;
    }

    private InstanceReport report(PendingReport telling, long nowMillis) {
        return new InstanceReport(
                mTable.self(),
                mStartedMillis,
                ++mSequence,
                telling.wantsReply(),
                mTable.declinesDuty(),
                use(telling.content(), nowMillis),
                mTable.receivedDigest(telling.address()),
                mRelay.listOffset(),
                telling.isReply() ? mTable.membersToSend(telling.address(), nowMillis) : List.of());
    }

    private List<PoolUse> use(PendingReport.Content content, long nowMillis) {
        List<PoolUse> pools = new ArrayList<>();
        for (ServicePool pool : mPools.pools().values()) {
            if (content == PendingReport.Content.OWN_USE) {
                pools.add(pool.scheduler().ownUse(nowMillis));
            } else if (content == PendingReport.Content.WHOLE_USE) {
                pools.add(pool.scheduler().aggregateUse(nowMillis));
            }
        }
        return pools;
    }

    private void received(InstancePacket packet) {
        long nowMillis = mClockMillis.getAsLong();
        boolean news = packet.report().map(report -> mTable.acceptReport(report, nowMillis)).orElse(false);
        if (packet.report().isEmpty()) {
            mTable.messageReceived(packet.address(), nowMillis);
        }
        if (packet.report().filter(InstanceReport::wantsReply).isPresent()) {
            flushSoon();
        }
        packet.storeUpdate().ifPresent(mNewsSink);
        mPools.receive(packet, news, nowMillis);
    }

    private final class PacketHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            UsePacketCodec.decode(bytes, mSettings.instance(), mClockMillis.getAsLong())
                    .ifPresentOrElse(
                            PeerSocket.this::received,
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
