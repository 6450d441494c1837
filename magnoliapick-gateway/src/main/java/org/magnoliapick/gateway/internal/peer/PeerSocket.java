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
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.FaultGuard;
import org.magnoliapick.gateway.internal.relay.Pools;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.member.Member;
import org.magnoliapick.member.PeerTable;
import org.magnoliapick.member.PendingReport;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.member.UpdateSubject;
import org.magnoliapick.pool.FleetShare;
import org.magnoliapick.pool.InstancePacket;
import org.magnoliapick.pool.InstanceReport;
import org.magnoliapick.pool.PoolMessage;
import org.magnoliapick.pool.PoolUse;
import org.magnoliapick.pool.ServicePool;
import org.magnoliapick.pool.UpstreamNotices;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.rpc.UsePacketCodec;

/**
 * Exchanges reports on the use of the upstreams, pool messages and store updates with the other
 * instances by datagrams. A report holds the complete current state, so the next one replaces a
 * lost one.
 */
public final class PeerSocket {
    /** Maximum datagram size; a datagram larger than the receive buffer would be truncated. */
    private static final int MAX_DATAGRAM_BYTES = 65_535;

    /** The interval of ticks, in milliseconds. */
    public static final long TICK_INTERVAL_MILLIS = 50;

    /** How long use changes and replies are delayed to be batched, in milliseconds. */
    private static final long FLUSH_DELAY_MILLIS = 10;

    private final EventLoopGroup mGroup;
    private final GatewaySettings mSettings;
    private final Pools mPools;
    private final EventLog mLog;
    private final FaultGuard mGuard;
    private final LongSupplier mClockMillis;
    private final PeerTable mTable;
    private final StoreRelay mStoreRelay;
    private final PromptQuarantine mQuarantine;
    private final RateLimits mRateLimits;
    private final StorePeers mStorePeers;
    private final NoticeExchange mNotices;
    private final long mStartedMillis;
    private final DispatcherRole mRole;
    private InstanceId mDispatcher;
    private Channel mChannel;
    private boolean mFlushScheduled;
    private boolean mDelayedFlushScheduled;
    private long mSequence;
    private int mLiveCount;

    /**
     * Creates a socket that is not bound.
     *
     * @param storeRelay supplies the store updates that are sent to other instances
     * @param quarantine what is known of poison parts, which the instances exchange
     * @param rateLimits the rate limits of upstreams, which the instances exchange
     * @param storePeers receives what other instances know of the store
     */
    public PeerSocket(
            EventLoopGroup group,
            GatewaySettings settings,
            Pools pools,
            EventLog log,
            LongSupplier clockMillis,
            StoreRelay storeRelay,
            PromptQuarantine quarantine,
            RateLimits rateLimits,
            StorePeers storePeers) {
        mGroup = group;
        mSettings = settings;
        mPools = pools;
        mLog = log;
        mGuard = new FaultGuard(log);
        mClockMillis = clockMillis;
        mStoreRelay = storeRelay;
        mQuarantine = quarantine;
        mRateLimits = rateLimits;
        mStorePeers = storePeers;
        mStartedMillis = clockMillis.getAsLong();
        mRole = new DispatcherRole(log, TICK_INTERVAL_MILLIS, mStartedMillis);
        // All instances listen on the same peer port; a seed's address names another of its ports.
        List<String> seeds = new ArrayList<>();
        for (AddressPort seed : settings.seeds()) {
            seeds.add(new AddressPort(seed.host(), settings.peerAddress().port()).toString());
        }
        Member self =
                new Member(
                        settings.instance(),
                        settings.domain(),
                        settings.peerAddress().toString(),
                        settings.milliCores());
        mTable = new PeerTable(self, seeds, mStartedMillis);
        mNotices = new NoticeExchange(mTable, pools);
    }

    /**
     * Binds the socket and returns the port, which the system chooses if the address has port 0.
     *
     * @throws InterruptedException if interrupted before the address was bound
     */
    public int listen() throws InterruptedException {
        mChannel =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioDatagramChannel.class)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
                                        .maxMessagesPerRead(DispatcherRole.MAX_MESSAGES_PER_READ))
                        .handler(new PacketHandler())
                        .bind(mSettings.peerAddress().socketAddress())
                        .sync()
                        .channel();
        return AddressPort.portOf(mChannel.localAddress());
    }

    /** Sends the reports that are due and updates the dispatcher role and the live count. */
    public void tick(long nowMillis) {
        mRole.tick(nowMillis);
        updateDeclinesRole(nowMillis);
        flush(mTable.reportsDue(nowMillis), nowMillis);
        updateLiveCount(nowMillis);
    }

    /**
     * Sends all waiting messages, the reports due, and a report to the dispatcher if the use
     * changed.
     */
    private void flush(List<PendingReport> due, long nowMillis) {
        Map<String, PendingReport> targets = new HashMap<>();
        due.forEach(each -> targets.put(each.address(), each));
        if (mPools.getAndClearDirty()) {
            remoteDispatcherAddress(nowMillis)
                    .map(PendingReport::useChange)
                    .ifPresent(each -> targets.merge(each.address(), each, PendingReport::merge));
        }
        send(targets, nowMillis);
    }

    /** Sends all waiting messages, and reports to the given targets by address. */
    private void send(Map<String, PendingReport> targets, long nowMillis) {
        Map<String, List<PoolMessage>> messages = new HashMap<>();
        for (PoolMessage each : mPools.takeOutbox()) {
            mTable.address(each.to())
                    .ifPresent(
                            address ->
                                    messages.computeIfAbsent(address, to -> new ArrayList<>())
                                            .add(each));
        }
        Set<String> addresses = new HashSet<>(messages.keySet());
        addresses.addAll(targets.keySet());
        for (String address : addresses) {
            send(
                    address,
                    Optional.ofNullable(targets.get(address)),
                    messages.getOrDefault(address, List.of()),
                    nowMillis);
        }
        if (!addresses.isEmpty()) {
            mChannel.flush();
        }
    }

    /**
     * Sends what was just read from the store to all directly reachable instances if this instance
     * is the dispatcher.
     */
    public void sendStoreUpdate() {
        long nowMillis = mClockMillis.getAsLong();
        if (isDispatcher(nowMillis)) {
            sendToAll(nowMillis);
        }
    }

    private void sendToAll(long nowMillis) {
        Map<String, PendingReport> targets = new HashMap<>();
        for (String address : mTable.directAddresses(nowMillis)) {
            PendingReport target = PendingReport.storeUpdate(address);
            mTable.reportSent(target, nowMillis);
            targets.put(address, target);
        }
        send(targets, nowMillis);
    }

    /** Declines the dispatcher role from now on, so that others take over before this one stops. */
    public void beginStop() {
        mRole.beginStop();
        updateDeclinesRole(mClockMillis.getAsLong());
    }

    /**
     * Updates whether this instance declines the dispatcher role. If the dispatcher begins to
     * decline it, the others are told at once, or else by the next reports that are due.
     */
    private void updateDeclinesRole(long nowMillis) {
        boolean declines = mRole.isDeclined(nowMillis);
        boolean announced = declines && !mTable.declinesDispatcherRole() && isDispatcher(nowMillis);
        mTable.setDeclinesDispatcherRole(declines);
        if (announced) {
            sendToAll(nowMillis);
        }
    }

    /**
     * Schedules the sending of waiting messages right after the current event loop task, or else
     * the sending of this instance's changed use after a short delay, so that changes and replies
     * are batched.
     */
    public void scheduleFlush() {
        if (!mFlushScheduled && mPools.hasMessages()) {
            mFlushScheduled = true;
            mGroup.next().execute(() -> mGuard.run("peers.flush", this::runScheduledFlush));
        } else if (mPools.isDirty()) {
            scheduleDelayedFlush();
        }
    }

    private void runScheduledFlush() {
        mFlushScheduled = false;
        flush(List.of(), mClockMillis.getAsLong());
    }

    private void scheduleDelayedFlush() {
        if (!mDelayedFlushScheduled) {
            mDelayedFlushScheduled = true;
            mGroup.next()
                    .schedule(
                            () -> mGuard.run("peers.flush", this::runDelayedFlush),
                            FLUSH_DELAY_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void runDelayedFlush() {
        mDelayedFlushScheduled = false;
        long nowMillis = mClockMillis.getAsLong();
        flush(mTable.repliesDue(nowMillis), nowMillis);
    }

    private void updateLiveCount(long nowMillis) {
        int liveCount = mTable.liveCount(nowMillis);
        if (liveCount != mLiveCount) {
            mLog.line("peers.changed").with("before", mLiveCount).with("live", liveCount).log();
            mLiveCount = liveCount;
        }
    }

    /** Returns the part of the fleet for which this instance decides. */
    public FleetShare share() {
        return mTable.share(mClockMillis.getAsLong());
    }

    /** Returns the number of other live instances as of the last tick. */
    public int liveCount() {
        return mLiveCount;
    }

    /** Returns the dispatcher of this instance; empty if this instance is its own dispatcher. */
    public Optional<InstanceId> remoteDispatcher() {
        InstanceId dispatcher = mTable.dispatcher(mClockMillis.getAsLong());
        if (!dispatcher.equals(mDispatcher)) {
            mDispatcher = dispatcher;
            mLog.line("dispatcher.changed").with("to", dispatcher).with("live", mLiveCount).log();
        }
        return dispatcher.equals(mSettings.instance()) ? Optional.empty() : Optional.of(dispatcher);
    }

    private Optional<String> remoteDispatcherAddress(long nowMillis) {
        return Optional.of(mTable.dispatcher(nowMillis))
                .filter(each -> !each.equals(mSettings.instance()))
                .flatMap(mTable::address);
    }

    private boolean isDispatcher(long nowMillis) {
        return mTable.dispatcher(nowMillis).equals(mSettings.instance());
    }

    private void send(
            String address,
            Optional<PendingReport> target,
            List<PoolMessage> messages,
            long nowMillis) {
        InstancePacket packet =
                new InstancePacket(
                        mSettings.instance(),
                        mSettings.peerAddress().toString(),
                        target.map(each -> buildReport(each, nowMillis)),
                        target.isPresent() ? acknowledgedGrants(address) : Map.of(),
                        target.filter(PendingReport::isReply)
                                .flatMap(
                                        each ->
                                                mStoreRelay.updateFor(
                                                        mTable.storePosition(address), nowMillis)),
                        target.flatMap(
                                each ->
                                        toSend(
                                                address,
                                                UpdateSubject.SUSPECTS,
                                                mQuarantine::updateFor,
                                                nowMillis)),
                        target.flatMap(
                                each ->
                                        toSend(
                                                address,
                                                UpdateSubject.RATE_LIMITS,
                                                mRateLimits::updateFor,
                                                nowMillis)),
                        target.map(each -> mNotices.toSend(each, nowMillis))
                                .orElse(UpstreamNotices.NONE),
                        messages);
        mChannel.write(
                new DatagramPacket(
                        Unpooled.wrappedBuffer(UsePacketCodec.encode(packet, nowMillis)),
                        AddressPort.parse(address).socketAddress()),
                mChannel.voidPromise());
    }

    /** Returns the update on a subject that the instance at an address lacks. */
    private <T> Optional<T> toSend(
            String address,
            UpdateSubject subject,
            LongFunction<Optional<T>> updateFor,
            long nowMillis) {
        return mTable.exchange(address, subject).flatMap(each -> each.toSend(updateFor, nowMillis));
    }

    private void updateReceived(InstancePacket packet, UpdateSubject subject, long version) {
        mTable.exchange(packet.address(), subject).ifPresent(each -> each.received(version));
    }

    /** Returns by service the highest grant that was received from the instance at an address. */
    private Map<String, Long> acknowledgedGrants(String address) {
        Map<String, Long> grants = new HashMap<>();
        Optional<InstanceId> to = mTable.instance(address);
        mPools.pools()
                .forEach(
                        (service, pool) ->
                                to.flatMap(pool::highestGrant)
                                        .ifPresent(grant -> grants.put(service, grant)));
        return grants;
    }

    private InstanceReport buildReport(PendingReport target, long nowMillis) {
        return new InstanceReport(
                mTable.self(),
                mStartedMillis,
                ++mSequence,
                target.wantsReply(),
                mTable.declinesDispatcherRole(),
                poolUses(target.content(), nowMillis),
                mTable.receivedDigest(target.address()),
                mStoreRelay.position(),
                mTable.receivedVersions(target.address()),
                target.isReply() ? mTable.membersToSend(target.address(), nowMillis) : List.of());
    }

    private List<PoolUse> poolUses(PendingReport.Content content, long nowMillis) {
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

    private void receive(InstancePacket packet) {
        long nowMillis = mClockMillis.getAsLong();
        boolean reportIsNew =
                packet.report().map(report -> mTable.acceptReport(report, nowMillis)).orElse(false);
        if (packet.report().isEmpty()) {
            mTable.messageReceived(packet.address(), nowMillis);
        }
        if (packet.report().filter(InstanceReport::wantsReply).isPresent()) {
            scheduleDelayedFlush();
        }
        packet.report().map(InstanceReport::storePosition).ifPresent(mStorePeers::positionReported);
        packet.storeUpdate().ifPresent(mStorePeers::updateReceived);
        packet.suspects()
                .ifPresent(
                        update -> {
                            mQuarantine.applyUpdate(update, nowMillis);
                            updateReceived(packet, UpdateSubject.SUSPECTS, update.version());
                        });
        packet.rateLimits()
                .ifPresent(
                        update -> {
                            mRateLimits.applyUpdate(update, packet.from().value());
                            updateReceived(packet, UpdateSubject.RATE_LIMITS, update.version());
                        });
        mNotices.receive(packet, nowMillis);
        mPools.receive(packet, reportIsNew, nowMillis);
    }

    private final class PacketHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            mRole.readCompleted(mClockMillis.getAsLong());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            mRole.messageRead();
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            UsePacketCodec.decode(bytes, mSettings.instance(), mClockMillis.getAsLong())
                    .ifPresentOrElse(
                            PeerSocket.this::receive,
                            () ->
                                    mLog.line("peers.unreadable")
                                            .with("from", packet.sender())
                                            .log());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram to an instance that is down may raise an error here; later reports are
            // sent anyway.
            mLog.line("peers.fault").with("fault", cause).log();
        }
    }
}
