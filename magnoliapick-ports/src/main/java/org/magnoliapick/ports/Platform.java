package org.magnoliapick.ports;

import java.util.function.LongSupplier;
import org.magnoliapick.ports.internal.HttpPlatform;

/** All ports of one process, with the connections behind them. */
public interface Platform extends AutoCloseable {
    /** Returns the port to the model engines. */
    ModelEngine modelEngine();

    /** Returns the port to the plain services. */
    PlainService plainService();

    /** Returns the port to the log service. */
    LogService logService();

    /** Returns the port to the instance list. */
    InstanceList instanceList();

    /** Returns the port to the weight store. */
    WeightStore weightStore();

    /** Closes all connections; calls in progress fail. */
    @Override
    void close();

    /**
     * Opens the ports over HTTP.
     *
     * @param settings addresses and bounds
     * @param nowMillis the present time in milliseconds since the epoch, against which deadlines
     *     are held
     */
    static Platform http(PlatformSettings settings, LongSupplier nowMillis) {
        return new HttpPlatform(settings, nowMillis);
    }
}
