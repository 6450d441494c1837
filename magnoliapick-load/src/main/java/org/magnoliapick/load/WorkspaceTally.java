package org.magnoliapick.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What one workspace's callers saw. */
final class WorkspaceTally {
    private static final long MAX_MICROS = 600_000_000;
    private static final int DIGITS = 3;

    private final LoadPlan.WorkspacePlan mPlan;
    private final Map<Verdict, Long> mVerdicts = new EnumMap<>(Verdict.class);
    private final Map<String, Long> mRefusals = new TreeMap<>();
    private final Histogram mLatencyMicros = new Histogram(MAX_MICROS, DIGITS);
    private final Histogram mFirstTokenMicros = new Histogram(MAX_MICROS, DIGITS);
    private long mRequests;
    private long mRetries;
    private long mTokens;
    private long mHeldMillis;
    private double mNormalisedTokens;
    private double mNormalisedHeldMillis;
    private long mDoubled;
    private long mFalseRefusals;
    private long mMissing;

    WorkspaceTally(LoadPlan.WorkspacePlan plan) {
        mPlan = plan;
    }

    LoadPlan.WorkspacePlan plan() {
        return mPlan;
    }

    synchronized void addRefusal(String error) {
        mRefusals.merge(error, 1L, Long::sum);
    }

    synchronized void addRetry() {
        mRetries++;
    }

    /** Takes the end of a request, at a time in seconds since the start of the load. */
    synchronized void add(Attempt last, boolean isStreamed, long startNanos, double seconds) {
        mRequests++;
        mVerdicts.merge(last.verdict(), 1L, Long::sum);
        if (last.verdict() != Verdict.WHOLE) {
            return;
        }
        mLatencyMicros.recordValue(micros(System.nanoTime() - startNanos));
        if (isStreamed) {
            mFirstTokenMicros.recordValue(micros(last.firstByteNanos() - startNanos));
        }
        double weight = mPlan.weightAt(seconds);
        mTokens += last.tokens();
        mHeldMillis += last.heldMillis();
        mNormalisedTokens += last.tokens() / weight;
        mNormalisedHeldMillis += last.heldMillis() / weight;
    }

    private static long micros(long nanos) {
        return Math.max(0, Math.min(MAX_MICROS, nanos / 1_000));
    }

    synchronized void addRunCheck(boolean isDoubled, boolean isFalseRefusal, boolean isMissing) {
        mDoubled += isDoubled ? 1 : 0;
        mFalseRefusals += isFalseRefusal ? 1 : 0;
        mMissing += isMissing ? 1 : 0;
    }

    synchronized long count(Verdict verdict) {
        return mVerdicts.getOrDefault(verdict, 0L);
    }

    synchronized long requests() {
        return mRequests;
    }

    /** Returns the figures; the gap is that to the workspace with the least of its kind. */
    synchronized WorkspaceFigures figures(double leastNormalisedTokens) {
        double gap = mPlan.backlogged() ? mNormalisedTokens - leastNormalisedTokens : 0;
        return new WorkspaceFigures(
                mPlan.name(),
                mRequests,
                count(Verdict.WHOLE),
                count(Verdict.NOT_RUN),
                count(Verdict.FAILED),
                count(Verdict.UNKNOWN),
                count(Verdict.LOST) + mMissing,
                mDoubled,
                count(Verdict.CROSSED),
                mFalseRefusals,
                mRetries,
                new TreeMap<>(mRefusals),
                mTokens,
                mHeldMillis,
                mNormalisedTokens,
                mNormalisedHeldMillis,
                gap,
                millis(mLatencyMicros, 50),
                millis(mLatencyMicros, 95),
                millis(mLatencyMicros, 99),
                millis(mFirstTokenMicros, 95));
    }

    synchronized double normalisedTokens() {
        return mNormalisedTokens;
    }

    private static double millis(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / 1_000.0;
    }
}
