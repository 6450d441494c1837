package org.magnoliapick.pool;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times. */
final class VirtualTime {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long mNowMillis;
    private long mLastSequence;

    long nowMillis() {
        return mNowMillis;
    }

    /** Runs an action at a time. */
    void at(long millis, Runnable action) {
        mEvents.add(new Event(millis, ++mLastSequence, action));
    }

    /** Runs an action after some time. */
    void after(long millis, Runnable action) {
        at(mNowMillis + millis, action);
    }

    /** Runs all actions up to a time. */
    void runUntil(long millis) {
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= millis) {
            Event event = mEvents.remove();
            mNowMillis = event.atMillis();
            event.action().run();
        }
        mNowMillis = millis;
    }

    private record Event(long atMillis, long sequence, Runnable action) {}
}
