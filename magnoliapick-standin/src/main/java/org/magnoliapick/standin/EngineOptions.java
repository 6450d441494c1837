package org.magnoliapick.standin;

import java.util.List;
import java.util.function.LongSupplier;

/** How an engine stand-in behaves. */
public final class EngineOptions {
    String mHost = "127.0.0.1";
    int mPort;
    List<String> mModels = List.of("gift-writer@1");
    String mRole = "mixed";
    int mMaxRunning = 16;
    long mTokenMicros = 2_000;
    long mTokenMicrosPerRunning = 100;
    long mPrefillMicrosPerToken = 20;
    int mCacheBlocks = 1_024;
    long mCacheEventDelayMillis = 500;
    int mCacheEventGapEvery;
    long mLoadLagMillis = 500;
    boolean mHonoursFencing = true;
    LongSupplier mNowMillis = System::currentTimeMillis;

    /** Sets the TCP port; 0 takes a free one. */
    public EngineOptions setPort(int port) {
        mPort = port;
        return this;
    }

    /** Sets the IP number to listen on. */
    public EngineOptions setHost(String host) {
        mHost = host;
        return this;
    }

    /** Sets the models with their versions, such as {@code gift-writer@1}. */
    public EngineOptions setModels(List<String> models) {
        mModels = List.copyOf(models);
        return this;
    }

    /** Sets the most requests in the batch; more wait inside the engine. */
    public EngineOptions setMaxRunning(int maxRunning) {
        mMaxRunning = maxRunning;
        return this;
    }

    /** Sets the time of one token alone, and what each request in the batch adds to it. */
    public EngineOptions setTokenMicros(long aloneMicros, long perRunningMicros) {
        mTokenMicros = aloneMicros;
        mTokenMicrosPerRunning = perRunningMicros;
        return this;
    }

    /** Sets the time that each token of the prompt outside the cache takes. */
    public EngineOptions setPrefillMicrosPerToken(long micros) {
        mPrefillMicrosPerToken = micros;
        return this;
    }

    /** Sets how many prefix blocks the cache holds. */
    public EngineOptions setCacheBlocks(int blocks) {
        mCacheBlocks = blocks;
        return this;
    }

    /** Sets how late cache events are; every n-th is left out, none if 0. */
    public EngineOptions setCacheEvents(long delayMillis, int gapEvery) {
        mCacheEventDelayMillis = delayMillis;
        mCacheEventGapEvery = gapEvery;
        return this;
    }

    /** Sets how old a load report may be. */
    public EngineOptions setLoadLagMillis(long lagMillis) {
        mLoadLagMillis = lagMillis;
        return this;
    }

    /** Sets whether orders with an old fencing number are refused. */
    public EngineOptions setHonoursFencing(boolean honoursFencing) {
        mHonoursFencing = honoursFencing;
        return this;
    }

    /** Sets the clock, in milliseconds since the epoch. */
    public EngineOptions setNowMillis(LongSupplier nowMillis) {
        mNowMillis = nowMillis;
        return this;
    }
}
