package org.magnoliapick.standin;

import java.util.Map;

/** A small weight store: it tells sizes and its rate. */
public final class WeightsStandin implements AutoCloseable {
    private final StandinServer mServer;

    private WeightsStandin(String host, int port, long sizeBytes, long bytesPerSecond) {
        mServer = new StandinServer(host, port);
        mServer.faultyRoute("/weights/", call -> call.reply(200, Map.of("sizeBytes", sizeBytes)));
        mServer.faultyRoute(
                "/rate", call -> call.reply(200, Map.of("bytesPerSecond", bytesPerSecond)));
    }

    /** Starts a weight store whose every subject has the given size. */
    public static WeightsStandin start(String host, int port, long sizeBytes, long bytesPerSecond) {
        WeightsStandin weights = new WeightsStandin(host, port, sizeBytes, bytesPerSecond);
        weights.mServer.start();
        return weights;
    }

    /** Returns the TCP port that it listens on. */
    public int port() {
        return mServer.port();
    }

    /** Returns its fault switches. */
    public FaultSwitches faults() {
        return mServer.faults();
    }

    @Override
    public void close() {
        mServer.close();
    }
}
