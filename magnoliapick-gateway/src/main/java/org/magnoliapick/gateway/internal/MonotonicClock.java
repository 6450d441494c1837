package org.magnoliapick.gateway.internal;

import java.util.function.LongSupplier;

/** Milliseconds since the epoch as of the start, from then on by the steady clock. */
final class MonotonicClock implements LongSupplier {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long mStartMillis = System.currentTimeMillis();
    private final long mStartNanos = System.nanoTime();

    @Override
    public long getAsLong() {
        return mStartMillis + (System.nanoTime() - mStartNanos) / NANOS_PER_MILLI;
    }
}
