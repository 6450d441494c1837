package org.magnoliapick.admin;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Optional;
import org.magnoliapick.config.ConfigState;
import org.magnoliapick.ports.AppendResult;
import org.magnoliapick.ports.LogEntry;
import org.magnoliapick.ports.LogPage;
import org.magnoliapick.ports.LogService;

/**
 * The log stream of snapshots. Any instance may append one; each is a function of the configuration
 * stream's prefix, so duplicates do no harm. Used by one thread.
 */
final class SnapshotStream {
    /** The stream of the log that holds the snapshots. */
    static final String STREAM = "config-snapshot";

    private static final Logger LOG = System.getLogger(SnapshotStream.class.getName());
    private static final int PAGE_ENTRIES = 50;

    /** A snapshot is due when the newest is older than this part of the retention time. */
    private static final int DUE_PART_OF_RETENTION = 3;

    /** Instances wait up to this part of the retention time more, so that one goes first. */
    private static final int SPREAD_PART_OF_RETENTION = 30;

    private final LogService mLog;
    private final Duration mAppendTimeout;
    private final long mDueMillis;
    private long mNextOffset;
    private long mNewestAtMillis = Long.MIN_VALUE;
    private Optional<byte[]> mNewest = Optional.empty();
    private long mCheckedAtMillis = Long.MIN_VALUE;
    private final long mCheckEveryMillis;

    SnapshotStream(LogService log, FollowerOptions options) {
        mLog = log;
        mAppendTimeout = options.appendTimeout();
        long retentionMillis = options.retention().toMillis();
        long spreadMillis = Math.max(1, retentionMillis / SPREAD_PART_OF_RETENTION);
        mDueMillis =
                retentionMillis / DUE_PART_OF_RETENTION
                        + Math.floorMod(options.instance().hashCode(), spreadMillis);
        mCheckEveryMillis = spreadMillis;
    }

    /** Reads to the end of the stream and returns the newest snapshot, if one was ever seen. */
    Optional<byte[]> readNewest() {
        readToEnd();
        return mNewest;
    }

    /** Appends a snapshot where the newest one is too old; looks for newer ones first. */
    void appendIfDue(ConfigState state, long nowMillis) {
        boolean isChecked =
                mCheckedAtMillis != Long.MIN_VALUE
                        && nowMillis - mCheckedAtMillis < mCheckEveryMillis;
        if (isChecked || !isDue(nowMillis)) {
            return;
        }
        mCheckedAtMillis = nowMillis;
        if (!readToEnd() || !isDue(nowMillis)) {
            return;
        }
        AppendResult result = mLog.append(STREAM, state.snapshot(), mAppendTimeout);
        if (result instanceof AppendResult.Appended) {
            mNewestAtMillis = nowMillis;
            LOG.log(Level.INFO, "[config] Appended a snapshot at offset {0}.", state.offset());
        }
    }

    private boolean isDue(long nowMillis) {
        return mNewestAtMillis == Long.MIN_VALUE || nowMillis - mNewestAtMillis >= mDueMillis;
    }

    private boolean readToEnd() {
        while (true) {
            Optional<LogPage> page = mLog.read(STREAM, mNextOffset, PAGE_ENTRIES, Duration.ZERO);
            if (page.isEmpty()) {
                return false;
            }
            page.get().entries().forEach(this::take);
            mNextOffset = Math.max(mNextOffset, page.get().firstKeptOffset());
            if (page.get().entries().isEmpty() || mNextOffset >= page.get().endOffset()) {
                return true;
            }
        }
    }

    private void take(LogEntry entry) {
        mNextOffset = Math.max(mNextOffset, entry.offset() + 1);
        mNewestAtMillis = Math.max(mNewestAtMillis, entry.appendedAtMillis());
        mNewest = Optional.of(entry.payload());
    }
}
