package org.magnoliapick.gateway.internal.relay;

import java.util.EnumMap;
import java.util.Map;
import org.magnoliapick.errors.ErrorKind;

/** Counts requests by outcome. Not thread-safe: all methods run on the event loop. */
public final class RelayCounters {
    private final Map<ErrorKind, Long> mFailures = new EnumMap<>(ErrorKind.class);
    private long mReceived;
    private long mCompleted;
    private long mResumes;
    private long mRetries;

    void countReceived() {
        mReceived++;
    }

    void countCompleted() {
        mCompleted++;
    }

    void countFailed(ErrorKind kind) {
        mFailures.merge(kind, 1L, Long::sum);
    }

    void countResume() {
        mResumes++;
    }

    void countRetry() {
        mRetries++;
    }

    /** Appends all counters as text, one metric per line. */
    public void write(StringBuilder text) {
        long failed = mFailures.values().stream().mapToLong(Long::longValue).sum();
        appendMetric(text, "magnoliapick_requests_received_total", mReceived);
        appendMetric(text, "magnoliapick_requests_whole_total", mCompleted);
        appendMetric(text, "magnoliapick_requests_under_way", mReceived - mCompleted - failed);
        appendMetric(text, "magnoliapick_resumes_total", mResumes);
        appendMetric(text, "magnoliapick_repeats_total", mRetries);
        mFailures.forEach(
                (kind, count) ->
                        appendMetric(
                                text,
                                "magnoliapick_requests_failed_total{kind=\""
                                        + kind.wireName()
                                        + "\"}",
                                count));
    }

    /** Appends a metric as text. */
    public static void appendMetric(StringBuilder text, String name, long value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
