package org.magnoliapick.gateway.internal;

import java.io.PrintStream;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.JsonLines;

/** The life of a gateway process: start, and a planned stop when it is told to end. */
public final class GatewayProcess {
    /** How long the last lines of the log may take, in milliseconds. */
    private static final long LOG_STOP_MILLIS = 200;

    private final JsonLines mLines;
    private final Gateway mGateway;

    /** Creates a process that is not started. */
    public GatewayProcess(GatewaySettings settings, Dialect dialect, PrintStream out) {
        LongSupplier clockMillis = new MonotonicClock();
        mLines = new JsonLines(out);
        mGateway = new Gateway(settings, dialect, new EventLog(mLines, clockMillis), clockMillis);
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
