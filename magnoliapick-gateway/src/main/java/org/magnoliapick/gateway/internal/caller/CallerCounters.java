package org.magnoliapick.gateway.internal.caller;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.relay.RelayCounters;
import org.magnoliapick.memory.CallerMemory;

/** Counts what the server ended, by cause, and writes it and the memory held as metrics. */
final class CallerCounters {
    /** The interval of log lines about callers that were rejected, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** Why a request was rejected or a connection closed. */
    enum Cause {
        /** Memory was short. */
        MEMORY,
        /** A head did not arrive in time. */
        HEAD_TIMEOUT,
        /** A body made no progress. */
        BODY_TIMEOUT,
        /** A response was not read. */
        UNREAD_RESPONSE,
        /** There were too many connections. */
        CONNECTIONS,
        /** The connection was idle. */
        IDLE,
        /** The instance is stopping. */
        STOPPING;

        /** Returns the name used in metrics and log lines. */
        String logName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private final CallerMemory mMemory;
    private final Map<Cause, Long> mCounts = new EnumMap<>(Cause.class);
    private final Map<Cause, Long> mLoggedCounts = new EnumMap<>(Cause.class);
    private long mLoggedMillis;

    CallerCounters(CallerMemory memory) {
        mMemory = memory;
    }

    void count(Cause cause) {
        mCounts.merge(cause, 1L, Long::sum);
    }

    /** Logs how many were rejected since the last line, at most once in a second. */
    void logRejected(EventLog log, long nowMillis) {
        if (nowMillis - mLoggedMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        mLoggedMillis = nowMillis;
        logSince(log, Cause.MEMORY, "caller.memory-short");
        logSince(log, Cause.CONNECTIONS, "caller.connections-full");
    }

    private void logSince(EventLog log, Cause cause, String kind) {
        long count = mCounts.getOrDefault(cause, 0L);
        long rejected = count - mLoggedCounts.getOrDefault(cause, 0L);
        if (rejected > 0) {
            mLoggedCounts.put(cause, count);
            log.line(kind)
                    .with("count", rejected)
                    .with("usedBytes", mMemory.usedBytes())
                    .with("maxBytes", mMemory.maxBytes())
                    .log();
        }
    }

    /** Appends the metrics as text. */
    void write(StringBuilder text) {
        RelayCounters.appendMetric(text, "magnoliapick_caller_memory_max", mMemory.maxBytes());
        for (CallerMemory.Kind kind : CallerMemory.Kind.values()) {
            RelayCounters.appendMetric(
                    text,
                    "magnoliapick_caller_memory{kind=\"" + kind.metricName() + "\"}",
                    mMemory.usedBytes(kind));
        }
        mCounts.forEach(
                (cause, count) ->
                        RelayCounters.appendMetric(
                                text,
                                "magnoliapick_callers_ended_total{cause=\""
                                        + cause.logName()
                                        + "\"}",
                                count));
    }
}
