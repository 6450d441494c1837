package org.magnoliapick.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The requests that were sent to an upstream in the past second, as far as this instance knows. An
 * upstream that becomes cold under load was sent more than its rate just before.
 */
public final class RecentStarts {
    /** The time in which the requests to a cold upstream are counted, in milliseconds. */
    static final long WINDOW_MILLIS = 1_000;

    /** The time whose requests are counted together, in milliseconds; bounds the memory. */
    private static final long SLOT_MILLIS = 50;

    private final Deque<Slot> mSlots = new ArrayDeque<>();
    private double mCount;

    /**
     * Adds requests.
     *
     * @param starts their number, which may be an estimate
     */
    public void add(double starts, long nowMillis) {
        removeOld(nowMillis);
        Slot last = mSlots.peekLast();
        if (last == null || nowMillis >= last.mFromMillis + SLOT_MILLIS) {
            last = new Slot(nowMillis);
            mSlots.addLast(last);
        }
        last.mCount += starts;
        mCount += starts;
    }

    /** Returns the time until fewer requests than a limit are counted, in milliseconds. */
    public long waitMillis(double limit, long nowMillis) {
        removeOld(nowMillis);
        double count = mCount;
        Iterator<Slot> slots = mSlots.iterator();
        long waitMillis = 0;
        while (count >= limit && slots.hasNext()) {
            Slot oldest = slots.next();
            count -= oldest.mCount;
            waitMillis = oldest.endMillis() - nowMillis;
        }
        return waitMillis;
    }

    private void removeOld(long nowMillis) {
        while (!mSlots.isEmpty() && mSlots.peekFirst().endMillis() <= nowMillis) {
            mCount -= mSlots.removeFirst().mCount;
        }
        if (mSlots.isEmpty()) {
            mCount = 0;
        }
    }

    private static final class Slot {
        private final long mFromMillis;
        private double mCount;

        private Slot(long fromMillis) {
            mFromMillis = fromMillis;
        }

        /** Returns when none of its requests counts any longer. */
        private long endMillis() {
            return mFromMillis + SLOT_MILLIS + WINDOW_MILLIS;
        }
    }
}
