package org.magnoliapick.admin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.ports.AppendResult;
import org.magnoliapick.ports.LogEntry;
import org.magnoliapick.ports.LogPage;
import org.magnoliapick.ports.LogService;

/** A log in memory that can be out, lose answers and forget entries. */
public final class FakeLogService implements LogService {
    private final Map<String, List<LogEntry>> mStreams = new HashMap<>();
    private final Map<String, Long> mFirstKept = new HashMap<>();
    private Runnable mAfterAppend = () -> {};
    private boolean mIsOut;
    private boolean mIsNextAnswerLost;
    private long mNowMillis;

    /** Makes the log unreachable or reachable again. */
    public void setOut(boolean isOut) {
        mIsOut = isOut;
    }

    void setNowMillis(long nowMillis) {
        mNowMillis = nowMillis;
    }

    void loseNextAnswer() {
        mIsNextAnswerLost = true;
    }

    /** Runs something after each append, such as the step of a follower. */
    void afterAppend(Runnable action) {
        mAfterAppend = action;
    }

    void forgetBefore(String stream, long offset) {
        mFirstKept.put(stream, offset);
    }

    long end(String stream) {
        return mStreams.getOrDefault(stream, List.of()).size();
    }

    @Override
    public AppendResult append(String stream, byte[] payload, Duration timeout) {
        if (mIsOut) {
            return new AppendResult.Refused("out");
        }
        List<LogEntry> entries = mStreams.computeIfAbsent(stream, name -> new ArrayList<>());
        long offset = entries.size();
        entries.add(new LogEntry(offset, mNowMillis, payload));
        mAfterAppend.run();
        if (mIsNextAnswerLost) {
            mIsNextAnswerLost = false;
            return new AppendResult.Unknown("answer lost");
        }
        return new AppendResult.Appended(offset);
    }

    @Override
    public Optional<LogPage> read(String stream, long fromOffset, int maxEntries, Duration wait) {
        if (mIsOut) {
            return Optional.empty();
        }
        List<LogEntry> entries = mStreams.getOrDefault(stream, List.of());
        long firstKept = mFirstKept.getOrDefault(stream, 0L);
        List<LogEntry> page =
                entries.stream()
                        .filter(entry -> entry.offset() >= Math.max(fromOffset, firstKept))
                        .limit(maxEntries)
                        .toList();
        return Optional.of(new LogPage(page, firstKept, entries.size()));
    }
}
