package org.magnoliapick.gateway.internal;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLineWriter;
import sun.misc.Signal;

/** The lifecycle of a gateway process: start, settings reload, and a graceful stop on shutdown. */
public final class GatewayProcess {
    /** How long writing the last log lines may take at a stop, in milliseconds. */
    private static final long LOG_STOP_TIMEOUT_MILLIS = 200;

    private final JsonLineWriter mLogWriter;
    private final EventLog mLog;
    private final Gateway mGateway;
    private final GatewaySettings mSettings;

    /** Creates a process that is not started. */
    public GatewayProcess(GatewaySettings settings, Dialect dialect, PrintStream out) {
        this(settings, dialect, out, new MonotonicClock());
    }

    /** Creates a process with a clock in milliseconds. */
    public GatewayProcess(
            GatewaySettings settings, Dialect dialect, PrintStream out, LongSupplier clockMillis) {
        mSettings = settings;
        mLogWriter = new JsonLineWriter(out);
        mLog = new EventLog(mLogWriter, clockMillis);
        mGateway = new Gateway(settings, dialect, mLog, clockMillis);
    }

    /** Reloads the settings file when it changes, and on SIGHUP. */
    public void watchSettings(Path file) {
        SettingsWatcher watcher =
                new SettingsWatcher(file, mSettings, mLog, mGateway::applySettings);
        mGateway.runPeriodically(watcher::reloadIfModified);
        Signal.handle(
                new Signal("HUP"),
                signal -> mGateway.runOnEventLoop("signal", () -> watcher.reload("signal")));
    }

    /**
     * Starts the gateway and registers a shutdown hook that stops it.
     *
     * @throws InterruptedException if interrupted before the addresses were bound
     */
    public void start() throws InterruptedException {
        mLogWriter.start();
        mGateway.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
    }

    /** Returns the port for callers; valid once started. */
    public int callerPort() {
        return mGateway.callerPort();
    }

    /** Returns the port for readiness checks by the balancer; valid once started. */
    public int readinessPort() {
        return mGateway.readinessPort();
    }

    /** Stops gracefully; returns once no caller is connected or the grace time has passed. */
    public void stop() {
        if (mGateway.isEventLoopEnded()) {
            return;
        }
        try {
            mGateway.stop();
            mLogWriter.stop(LOG_STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Stops and ends the event loop, for a caller whose process goes on. Otherwise the gateway
     * would keep calling its store's address, which may belong to another server by then.
     */
    public void close() {
        stop();
        mGateway.endEventLoop();
    }
}
