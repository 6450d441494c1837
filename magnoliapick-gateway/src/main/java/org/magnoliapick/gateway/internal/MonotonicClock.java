package org.magnoliapick.gateway.internal;

import java.util.function.LongSupplier;

/**
 * A clock in milliseconds since the epoch that never goes back: the wall clock is read once at the
 * start, and time advances by {@link System#nanoTime}.
 */
final class MonotonicClock implements LongSupplier {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long mStartMillis = System.currentTimeMillis();
    private final long mStartNanos = System.nanoTime();

    @Override
    public long getAsLong() {
        return mStartMillis + (System.nanoTime() - mStartNanos) / NANOS_PER_MILLI;
    }
}
