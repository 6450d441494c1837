package org.magnoliapick.gateway.internal;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLineWriter;
import sun.misc.Signal;

/** The life of a gateway process: start, and a planned stop when it is told to end. */
public final class GatewayProcess {
    /** How long the last lines of the log may take, in milliseconds. */
    private static final long LOG_STOP_MILLIS = 200;

    private final JsonLineWriter mLines;
    private final EventLog mLog;
    private final Gateway mGateway;
    private final GatewaySettings mSettings;

    /** Creates a process that is not started. */
    public GatewayProcess(GatewaySettings settings, Dialect dialect, PrintStream out) {
        LongSupplier clockMillis = new MonotonicClock();
        mSettings = settings;
        mLines = new JsonLineWriter(out);
        mLog = new EventLog(mLines, clockMillis);
        mGateway = new Gateway(settings, dialect, mLog, clockMillis);
    }

    /** Follows changes of the settings file; a hang-up signal only asks for another look. */
    public void watch(Path file) {
        SettingsWatcher watch = new SettingsWatcher(file, mSettings, mLog, mGateway::settingsChanged);
        mGateway.repeat(watch::look);
        Signal.handle(new Signal("HUP"), signal -> mGateway.run(() -> watch.reload("signal")));
    }

    /**
     * Starts it.
     *
     * @throws InterruptedException if interrupted before the addresses were bound
     */
    public void start() throws InterruptedException {
        mLines.start();
        mGateway.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
    }

    /** Returns the port where callers connect, once it is started. */
    public int callerPort() {
        return mGateway.callerPort();
    }

    /** Returns the port where the balancer asks, once it is started. */
    public int readinessPort() {
        return mGateway.readinessPort();
    }

    /** Stops gracefully; returns once all is answered or the time for it is over. */
    public void stop() {
        try {
            mGateway.stop();
            mLines.stop(LOG_STOP_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
