package org.magnoliapick.standin;

import java.util.List;
import java.util.function.LongSupplier;

/** How a plain-service stand-in behaves. */
public final class ServiceOptions {
    private static final List<String> FLAVOURS = List.of("draws", "orders");

    String mHost = "127.0.0.1";
    int mPort;
    String mFlavour = "draws";
    int mWorkers = 8;
    long mLatencyMillis = 10;
    long mLoadLagMillis = 500;
    LongSupplier mNowMillis = System::currentTimeMillis;

    /** Sets the TCP port; 0 takes a free one. */
    public ServiceOptions setPort(int port) {
        mPort = port;
        return this;
    }

    /** Sets the IP number to listen on. */
    public ServiceOptions setHost(String host) {
        mHost = host;
        return this;
    }

    /**
     * Sets what it answers with: {@code draws} or {@code orders}.
     *
     * @throws IllegalArgumentException for any other flavour
     */
    public ServiceOptions setFlavour(String flavour) {
        if (!FLAVOURS.contains(flavour)) {
            throw new IllegalArgumentException("flavour is one of " + FLAVOURS);
        }
        mFlavour = flavour;
        return this;
    }

    /** Sets how many calls run at once; more wait inside the service. */
    public ServiceOptions setWorkers(int workers) {
        mWorkers = workers;
        return this;
    }

    /** Sets how long a call holds its worker. */
    public ServiceOptions setLatencyMillis(long latencyMillis) {
        mLatencyMillis = latencyMillis;
        return this;
    }

    /** Sets how old a load report may be. */
    public ServiceOptions setLoadLagMillis(long lagMillis) {
        mLoadLagMillis = lagMillis;
        return this;
    }

    /** Sets the clock, in milliseconds since the epoch. */
    public ServiceOptions setNowMillis(LongSupplier nowMillis) {
        mNowMillis = nowMillis;
        return this;
    }
}
