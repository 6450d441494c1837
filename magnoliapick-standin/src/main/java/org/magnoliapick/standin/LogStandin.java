package org.magnoliapick.standin;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A small log service: streams with offsets, retention and a limited append rate. */
public final class LogStandin implements AutoCloseable {
    private static final int MAX_PAYLOAD_BYTES = 1024 * 1024;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long DEFAULT_MAX_ENTRIES = 1_000;
    private static final String PREFIX = "/streams/";

    private final LogOptions mOptions;
    private final StandinServer mServer;
    private final Map<String, LogStream> mStreams = new ConcurrentHashMap<>();
    private double mAllowance;
    private long mAllowanceAtMillis;

    private LogStandin(LogOptions options) {
        mOptions = options;
        mAllowance = options.mAppendsPerSecond;
        mAllowanceAtMillis = options.mNowMillis.getAsLong();
        mServer = new StandinServer(options.mHost, options.mPort);
        mServer.faultyRoute(PREFIX, this::handle);
    }

    /** Starts a log; it listens when this returns. */
    public static LogStandin start(LogOptions options) {
        LogStandin log = new LogStandin(options);
        log.mServer.start();
        return log;
    }

    /** Returns the TCP port that it listens on. */
    public int port() {
        return mServer.port();
    }

    /** Returns its fault switches. */
    public FaultSwitches faults() {
        return mServer.faults();
    }

    /** Appends an entry past all faults and returns its offset. */
    public long append(String stream, byte[] payload) {
        return streamOf(stream).append(payload, mOptions.mNowMillis.getAsLong());
    }

    private LogStream streamOf(String name) {
        return mStreams.computeIfAbsent(name, key -> new LogStream());
    }

    private void handle(Call call) throws IOException {
        LogStream stream = streamOf(call.pathAfter(PREFIX));
        stream.dropBefore(mOptions.mNowMillis.getAsLong() - mOptions.mRetentionMillis);
        if (call.method().equals("POST")) {
            append(call, stream);
        } else {
            read(call, stream);
        }
    }

    private void append(Call call, LogStream stream) throws IOException {
        long nowMillis = mOptions.mNowMillis.getAsLong();
        if (call.body().length > MAX_PAYLOAD_BYTES) {
            call.reply(413, Map.of("error", "too large"));
        } else if (!takeAllowance(nowMillis)) {
            call.reply(429, Map.of("error", "too many appends"));
        } else {
            call.reply(200, Map.of("offset", stream.append(call.body(), nowMillis)));
        }
    }

    private synchronized boolean takeAllowance(long nowMillis) {
        double refill = (nowMillis - mAllowanceAtMillis) * mOptions.mAppendsPerSecond / 1_000.0;
        mAllowance = Math.min(mOptions.mAppendsPerSecond, mAllowance + refill);
        mAllowanceAtMillis = nowMillis;
        if (mAllowance < 1) {
            return false;
        }
        mAllowance--;
        return true;
    }

    private static void read(Call call, LogStream stream) throws IOException {
        long from = call.queryLong("from", 0);
        long waitMillis = Math.min(MAX_WAIT_MILLIS, call.queryLong("waitMs", 0));
        try {
            stream.awaitEntry(from, waitMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CutException("Stopped");
        }
        call.reply(200, stream.page(from, call.queryLong("max", DEFAULT_MAX_ENTRIES)));
    }

    @Override
    public void close() {
        mServer.close();
    }
}
