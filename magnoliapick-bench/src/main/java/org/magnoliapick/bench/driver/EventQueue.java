package org.magnoliapick.bench.driver;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of virtual time; equal times run in the order of scheduling. */
final class EventQueue {
    private record Event(long atMicros, long sequence, Runnable action) {}

    private static final Comparator<Event> ORDER =
            Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence);

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>(ORDER);
    private long mNowMicros;
    private long mNextSequence;

    /** Returns the present virtual time in microseconds. */
    long nowMicros() {
        return mNowMicros;
    }

    /** Returns the present virtual time in milliseconds. */
    long nowMillis() {
        return mNowMicros / Times.MICROS_PER_MILLI;
    }

    /** Runs the action after a delay in microseconds. */
    void after(long delayMicros, Runnable action) {
        at(mNowMicros + delayMicros, action);
    }

    /** Runs the action at a time in microseconds, or now if that has passed. */
    void at(long atMicros, Runnable action) {
        mEvents.add(new Event(Math.max(atMicros, mNowMicros), mNextSequence++, action));
    }

    /** Runs what is due up to a time in microseconds. */
    void runUntil(long endMicros) {
        while (!mEvents.isEmpty() && mEvents.peek().atMicros() <= endMicros) {
            Event event = mEvents.poll();
            mNowMicros = event.atMicros();
            event.action().run();
        }
        mNowMicros = endMicros;
    }
}
