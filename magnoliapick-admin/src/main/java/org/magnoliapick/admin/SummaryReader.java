package org.magnoliapick.admin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.magnoliapick.ports.LogEntry;
import org.magnoliapick.ports.LogPage;
import org.magnoliapick.ports.LogService;
import org.magnoliapick.record.SummaryBatch;
import org.magnoliapick.record.SummaryHistory;

/** Reads the summaries of the last hour from the log when somebody asks. */
public final class SummaryReader {
    private static final String STREAM_PREFIX = "decisions-";
    private static final int PAGE_ENTRIES = 100;

    private final LogService mLog;
    private final Supplier<Set<String>> mFailureDomains;
    private final SummaryHistory mHistory = new SummaryHistory();
    private final Map<String, Long> mNextOffsets = new HashMap<>();

    /** Creates a reader of the streams of the failure domains known at each call. */
    public SummaryReader(LogService log, Supplier<Set<String>> failureDomains) {
        mLog = log;
        mFailureDomains = failureDomains;
    }

    static String stream(String failureDomain) {
        return STREAM_PREFIX + failureDomain;
    }

    /**
     * What the log keeps.
     *
     * @param batches the batches, oldest first
     * @param isWhole whether every stream could be read to its end
     */
    public record Kept(List<SummaryBatch> batches, boolean isWhole) {
        /** Copies the batches. */
        public Kept {
            batches = List.copyOf(batches);
        }
    }

    /** Returns what the log keeps since a time. */
    public synchronized Kept since(long fromMillis, long nowMillis) {
        boolean isWhole = true;
        for (String domain : mFailureDomains.get()) {
            isWhole &= readToEnd(stream(domain), nowMillis - SummaryHistory.RETENTION_MILLIS);
        }
        mHistory.expire(nowMillis);
        return new Kept(mHistory.since(fromMillis), isWhole);
    }

    private boolean readToEnd(String stream, long fromMillis) {
        if (!mNextOffsets.containsKey(stream)) {
            Optional<Long> first = firstOffsetSince(stream, fromMillis);
            if (first.isEmpty()) {
                return false;
            }
            mNextOffsets.put(stream, first.get());
        }
        while (true) {
            long next = mNextOffsets.get(stream);
            Optional<LogPage> page = mLog.read(stream, next, PAGE_ENTRIES, Duration.ZERO);
            if (page.isEmpty()) {
                return false;
            }
            if (page.get().entries().isEmpty()) {
                return true;
            }
            page.get().entries().forEach(entry -> take(stream, entry));
        }
    }

    private void take(String stream, LogEntry entry) {
        mNextOffsets.put(stream, entry.offset() + 1);
        String lines = new String(entry.payload(), StandardCharsets.UTF_8);
        lines.lines()
                .map(line -> SummaryBatch.decode(line.getBytes(StandardCharsets.UTF_8)))
                .forEach(batch -> batch.ifPresent(mHistory::add));
    }

    /** Finds by bisection the first entry that was appended at or after a time. */
    private Optional<Long> firstOffsetSince(String stream, long fromMillis) {
        Optional<LogPage> start = mLog.read(stream, 0, 1, Duration.ZERO);
        if (start.isEmpty()) {
            return Optional.empty();
        }
        long low = start.get().firstKeptOffset();
        long high = start.get().endOffset();
        while (low < high) {
            long middle = low + (high - low) / 2;
            Optional<LogPage> page = mLog.read(stream, middle, 1, Duration.ZERO);
            if (page.isEmpty()) {
                return Optional.empty();
            }
            List<LogEntry> entries = page.get().entries();
            if (entries.isEmpty() || entries.get(0).appendedAtMillis() >= fromMillis) {
                high = middle;
            } else {
                low = entries.get(0).offset() + 1;
            }
        }
        return Optional.of(low);
    }
}
