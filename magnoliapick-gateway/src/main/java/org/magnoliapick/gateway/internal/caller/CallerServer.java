package org.magnoliapick.gateway.internal.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.internal.http.Sockets;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.FaultGuard;
import org.magnoliapick.gateway.internal.relay.Relays;
import org.magnoliapick.memory.CallerMemory;
import org.magnoliapick.route.CallerLimits;

/** The HTTP server that accepts callers' connections. */
public final class CallerServer {
    /** The maximum number of connections that wait to be accepted. */
    private static final int BACKLOG = 1_024;

    /**
     * The maximum number of connections that are accepted in one turn of the loop. With Netty's
     * default of 16, a flood of new connections waits to be accepted while the loop's own delay
     * stays small, so that an overload is not detected.
     */
    private static final int MAX_ACCEPTS_PER_TURN = 256;

    private final EventLoopGroup mLoop;
    private final Relays mRelays;
    private final EventLog mLog;
    private final FaultGuard mGuard;
    private final LongSupplier mClockMillis;
    private final CallerMemory mMemory;
    private final CallerCounters mCounters;
    private final Set<CallerConnection> mConnections = new LinkedHashSet<>();
    private long mMaxConnections;
    private CallerLimits mLimits = CallerLimits.INITIAL;
    private boolean mDraining;
    private boolean mClosing;

    /** Creates a server that does not listen yet. */
    public CallerServer(
            EventLoopGroup loop,
            Relays relays,
            EventLog log,
            LongSupplier clockMillis,
            CallerMemory memory) {
        mLoop = loop;
        mRelays = relays;
        mLog = log;
        mGuard = new FaultGuard(log);
        mClockMillis = clockMillis;
        mMemory = memory;
        mCounters = new CallerCounters(memory);
        setMaxDescriptors(0);
    }

    /** Sets the number of descriptors that the process may have; 0 if it is unknown. */
    public void setMaxDescriptors(long maxDescriptors) {
        mMaxConnections = mMemory.maxConnections(maxDescriptors);
    }

    /**
     * Binds the address; returns the port, which the system chooses if the address has port 0.
     *
     * @throws InterruptedException if interrupted before the address was bound
     */
    public int listen(AddressPort address) throws InterruptedException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true);
        if (mRelays.admission().isEnabled()) {
            bootstrap.option(
                    ChannelOption.RCVBUF_ALLOCATOR,
                    new ServerChannelRecvByteBufAllocator()
                            .maxMessagesPerRead(MAX_ACCEPTS_PER_TURN));
        }
        return Sockets.listen(bootstrap, mLoop, address, this::addHandlers);
    }

    /** Adds the handlers of a new connection to its pipeline. */
    void addHandlers(ChannelPipeline pipeline) {
        RequestDecoder decoder = new RequestDecoder(mLimits.maxHeaderBytes());
        pipeline.addLast(decoder, new HttpResponseEncoder(), new CallerConnection(this, decoder));
    }

    /** Sets the limits; the maximum header size applies to connections accepted from now on. */
    public void setLimits(CallerLimits limits) {
        mLimits = limits;
    }

    /**
     * Starts draining: every response from now on asks the caller to close the connection, so that
     * its next request goes to another instance.
     */
    public void startDraining() {
        mDraining = true;
    }

    /** Closes each connection after its current response, and idle ones at the next sweep. */
    public void closeWhenIdle() {
        mClosing = true;
    }

    /**
     * Closes connections that are idle beyond the timeout, or all idle ones while closing, and
     * rejects requests whose head is overdue.
     */
    public void sweep(long nowMillis) {
        List.copyOf(mConnections)
                .forEach(each -> mGuard.run("caller", () -> each.sweep(nowMillis)));
        mCounters.logRejected(mLog, nowMillis);
    }

    /** Appends the metrics of callers' connections as text. */
    public void writeMetrics(StringBuilder text) {
        mCounters.write(text);
    }

    /** Returns the number of open caller connections. */
    public int connectionCount() {
        return mConnections.size();
    }

    CallerLimits limits() {
        return mLimits;
    }

    /** Returns whether connections are being closed. */
    public boolean isClosing() {
        return mClosing;
    }

    boolean isDraining() {
        return mDraining;
    }

    CallerMemory memory() {
        return mMemory;
    }

    CallerCounters counters() {
        return mCounters;
    }

    Relays relays() {
        return mRelays;
    }

    EventLog log() {
        return mLog;
    }

    long nowMillis() {
        return mClockMillis.getAsLong();
    }

    /**
     * Adds a connection; if there are too many, closes the one that has been idle longest, or the
     * new one if none is idle.
     */
    void opened(CallerConnection connection) {
        mConnections.add(connection);
        if (mConnections.size() > mMaxConnections) {
            mCounters.count(CallerCounters.Cause.CONNECTIONS);
            mConnections.stream()
                    .filter(CallerConnection::isIdle)
                    .findFirst()
                    .orElse(connection)
                    .close();
        }
    }

    /** Moves a connection that becomes idle behind those that have been idle for longer. */
    void becameIdle(CallerConnection connection) {
        if (mConnections.remove(connection)) {
            mConnections.add(connection);
        }
    }

    void closed(CallerConnection connection) {
        mConnections.remove(connection);
    }
}
