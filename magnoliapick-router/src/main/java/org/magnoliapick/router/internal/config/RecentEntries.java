package org.magnoliapick.router.internal.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.magnoliapick.ports.LogEntry;
import org.magnoliapick.ports.LogPage;

/**
 * The last entries that this instance read from the log itself, from which it serves others.
 * Bounded in entries and bytes; what falls out has to be read from the log.
 */
final class RecentEntries {
    /** The most entries kept. */
    static final int MAX_ENTRIES = 1_000;

    /** The most bytes kept. */
    static final long MAX_BYTES = 1_000_000;

    /** How long a read of the log counts as a sign that the log can be reached, in milliseconds. */
    static final long FRESH_MILLIS = 3_000;

    private final Deque<LogEntry> mEntries = new ArrayDeque<>();
    private long mBytes;
    private long mNextOffset = -1;
    private long mFirstKeptOffset;
    private long mReadAtMillis = Long.MIN_VALUE / 2;

    /** Takes a page that was read from the given offset on. */
    synchronized void took(long fromOffset, LogPage page, long nowMillis) {
        if (fromOffset != mNextOffset) {
            forget(fromOffset);
        }
        for (LogEntry entry : page.entries()) {
            if (entry.offset() != mNextOffset) {
                forget(entry.offset());
            }
            mEntries.addLast(entry);
            mBytes += entry.payload().length;
            mNextOffset = entry.offset() + 1;
        }
        mFirstKeptOffset = page.firstKeptOffset();
        mReadAtMillis = nowMillis;
        shrink();
    }

    /** Serves entries from an offset on. */
    synchronized RelayedPage serve(long fromOffset, int maxEntries, long nowMillis) {
        if (nowMillis - mReadAtMillis > FRESH_MILLIS) {
            return RelayedPage.without(RelayedPage.State.LOG_OUT);
        }
        if (fromOffset < firstOffset()) {
            return RelayedPage.without(RelayedPage.State.TOO_OLD);
        }
        List<LogEntry> served = new ArrayList<>();
        for (LogEntry entry : mEntries) {
            if (entry.offset() >= fromOffset && served.size() < maxEntries) {
                served.add(entry);
            }
        }
        return new RelayedPage(RelayedPage.State.SERVED, served, mFirstKeptOffset, mNextOffset);
    }

    private long firstOffset() {
        return mEntries.isEmpty() ? mNextOffset : mEntries.getFirst().offset();
    }

    private void forget(long nextOffset) {
        mEntries.clear();
        mBytes = 0;
        mNextOffset = nextOffset;
    }

    private void shrink() {
        while (mEntries.size() > MAX_ENTRIES || mBytes > MAX_BYTES) {
            mBytes -= mEntries.removeFirst().payload().length;
        }
    }
}
