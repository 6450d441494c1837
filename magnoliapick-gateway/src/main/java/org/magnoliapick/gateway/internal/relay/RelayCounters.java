package org.magnoliapick.gateway.internal.relay;

import java.util.EnumMap;
import java.util.Map;
import org.magnoliapick.errors.ErrorKind;

/** Counts requests by how they ended. Written on the event loop, read from anywhere. */
public final class RelayCounters {
    private final Map<ErrorKind, Long> mErrors = new EnumMap<>(ErrorKind.class);
    private long mReceived;
    private long mWhole;
    private long mResumes;
    private long mRepeats;
    private int mUnderWay;

    void received() {
        mReceived++;
        mUnderWay++;
    }

    void whole() {
        mWhole++;
        mUnderWay--;
    }

    void failed(ErrorKind kind) {
        mErrors.merge(kind, 1L, Long::sum);
        mUnderWay--;
    }

    void resumed() {
        mResumes++;
    }

    void repeated() {
        mRepeats++;
    }

    /** Returns how many requests have no final answer yet. */
    public int underWay() {
        return mUnderWay;
    }

    /** Writes all counts as text, one metric a line. */
    public void write(StringBuilder text) {
        line(text, "magnoliapick_requests_received_total", mReceived);
        line(text, "magnoliapick_requests_whole_total", mWhole);
        line(text, "magnoliapick_requests_under_way", mUnderWay);
        line(text, "magnoliapick_resumes_total", mResumes);
        line(text, "magnoliapick_repeats_total", mRepeats);
        mErrors.forEach(
                (kind, count) ->
                        line(
                                text,
                                "magnoliapick_requests_failed_total{kind=\""
                                        + kind.wireName()
                                        + "\"}",
                                count));
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
