package org.magnoliapick.standin;

import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Keeps a report for a while, so that readers see it late. */
final class LaggingReport<T> {
    private final LongSupplier mNowMillis;
    private final long mLagMillis;
    private final Supplier<T> mSource;
    private T mTaken;
    private long mTakenAtMillis;

    LaggingReport(LongSupplier nowMillis, long lagMillis, Supplier<T> source) {
        mNowMillis = nowMillis;
        mLagMillis = lagMillis;
        mSource = source;
    }

    synchronized T get() {
        long nowMillis = mNowMillis.getAsLong();
        if (mTaken == null || nowMillis - mTakenAtMillis >= mLagMillis) {
            mTaken = mSource.get();
            mTakenAtMillis = nowMillis;
        }
        return mTaken;
    }

    /** Returns a load report in the form that upstreams answer. */
    static Map<String, Object> load(
            long takenAtMillis, int running, int waiting, int maxRunning, double cacheUsedRatio) {
        return Map.of(
                "takenAtMillis",
                takenAtMillis,
                "running",
                running,
                "waiting",
                waiting,
                "maxRunning",
                maxRunning,
                "cacheUsedRatio",
                cacheUsedRatio);
    }
}
