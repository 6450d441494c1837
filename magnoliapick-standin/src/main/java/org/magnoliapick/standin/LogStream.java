package org.magnoliapick.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/** One stream of the log stand-in. */
final class LogStream {
    private final Deque<Entry> mEntries = new ArrayDeque<>();
    private long mEndOffset;

    private record Entry(long offset, long appendedAtMillis, byte[] payload) {
        Map<String, Object> toJson() {
            return Map.of(
                    "offset",
                    offset,
                    "appendedAtMillis",
                    appendedAtMillis,
                    "payload",
                    Base64.getEncoder().encodeToString(payload));
        }
    }

    synchronized long append(byte[] payload, long nowMillis) {
        long offset = mEndOffset++;
        mEntries.add(new Entry(offset, nowMillis, payload));
        notifyAll();
        return offset;
    }

    synchronized void dropBefore(long oldestMillis) {
        while (!mEntries.isEmpty() && mEntries.peek().appendedAtMillis() < oldestMillis) {
            mEntries.remove();
        }
    }

    /** Waits until there is an entry at or behind the offset, at most the given time. */
    synchronized void awaitEntry(long from, long waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        long leftMillis = waitMillis;
        while (mEndOffset <= from && leftMillis > 0) {
            wait(leftMillis);
            leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
        }
    }

    synchronized Map<String, Object> page(long from, long max) {
        long firstKept = mEntries.isEmpty() ? mEndOffset : mEntries.peek().offset();
        List<Object> entries = new ArrayList<>();
        for (Entry entry : mEntries) {
            if (entry.offset() >= from && entries.size() < max) {
                entries.add(entry.toJson());
            }
        }
        return Map.of("entries", entries, "firstKeptOffset", firstKept, "endOffset", mEndOffset);
    }
}
