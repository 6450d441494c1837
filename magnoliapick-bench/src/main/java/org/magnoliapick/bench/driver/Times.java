package org.magnoliapick.bench.driver;

/** Conversions between units of time. */
final class Times {
    static final long MICROS_PER_MILLI = 1_000;
    static final long MICROS_PER_SECOND = 1_000_000;

    private Times() {}

    /** Converts milliseconds to microseconds. */
    static long ofMillis(long millis) {
        return millis * MICROS_PER_MILLI;
    }

    /** Converts seconds to microseconds. */
    static long ofSeconds(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
