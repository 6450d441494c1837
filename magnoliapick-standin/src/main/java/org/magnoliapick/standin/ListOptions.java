package org.magnoliapick.standin;

import java.util.function.LongSupplier;

/** How an instance-list stand-in behaves. */
public final class ListOptions {
    String mHost = "127.0.0.1";
    int mPort;
    long mExpiryMillis = 10_000;
    long mLagMillis = 500;
    LongSupplier mNowMillis = System::currentTimeMillis;

    /** Sets the TCP port; 0 takes a free one. */
    public ListOptions setPort(int port) {
        mPort = port;
        return this;
    }

    /** Sets the IP number to listen on. */
    public ListOptions setHost(String host) {
        mHost = host;
        return this;
    }

    /** Sets after what time without renewal a member is dropped. */
    public ListOptions setExpiryMillis(long expiryMillis) {
        mExpiryMillis = expiryMillis;
        return this;
    }

    /** Sets how old the answered list may be. */
    public ListOptions setLagMillis(long lagMillis) {
        mLagMillis = lagMillis;
        return this;
    }

    /** Sets the clock, in milliseconds since the epoch. */
    public ListOptions setNowMillis(LongSupplier nowMillis) {
        mNowMillis = nowMillis;
        return this;
    }
}
