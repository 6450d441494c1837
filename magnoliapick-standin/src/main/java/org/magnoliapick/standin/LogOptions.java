package org.magnoliapick.standin;

import java.util.function.LongSupplier;

/** How a log stand-in behaves. */
public final class LogOptions {
    String mHost = "127.0.0.1";
    int mPort;
    long mRetentionMillis = 3_600_000;
    int mAppendsPerSecond = 500;
    LongSupplier mNowMillis = System::currentTimeMillis;

    /** Sets the TCP port; 0 takes a free one. */
    public LogOptions setPort(int port) {
        mPort = port;
        return this;
    }

    /** Sets the IP number to listen on. */
    public LogOptions setHost(String host) {
        mHost = host;
        return this;
    }

    /** Sets how long entries are kept. */
    public LogOptions setRetentionMillis(long retentionMillis) {
        mRetentionMillis = retentionMillis;
        return this;
    }

    /** Sets how many appends are taken in a second over all streams; more are refused. */
    public LogOptions setAppendsPerSecond(int appendsPerSecond) {
        mAppendsPerSecond = appendsPerSecond;
        return this;
    }

    /** Sets the clock, in milliseconds since the epoch. */
    public LogOptions setNowMillis(LongSupplier nowMillis) {
        mNowMillis = nowMillis;
        return this;
    }
}
