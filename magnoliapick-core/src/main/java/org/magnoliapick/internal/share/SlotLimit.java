package org.magnoliapick.internal.share;

import org.magnoliapick.config.TargetConfig;
import org.magnoliapick.share.LoadReport;

/**
 * Adaptive limit of the concurrent requests at one upstream. It aims at a full batch with almost
 * nothing queued inside the upstream, and follows load reports, which may be late, and the observed
 * time between tokens (the token gap).
 */
final class SlotLimit {
    /** Limit until the first load report, which contains the maximum batch size. */
    private static final int INITIAL_LIMIT = 8;

    /** Age from which the last load report counts as outdated. */
    private static final long REPORT_TIMEOUT_MILLIS = 5_000;

    /** Minimum time since the last change before a long token gap lowers the limit. */
    private static final long GAP_STEP_INTERVAL_MILLIS = 1_000;

    /** Weight of the previous average in the moving average of the token gap. */
    private static final double GAP_DECAY = 0.9;

    /** Fraction by which a long token gap lowers the limit, at least by 1. */
    private static final double GAP_STEP_RATIO = 0.05;

    private int mLimit = INITIAL_LIMIT;
    private int mConfiguredMax = TargetConfig.DEFAULT_MAX_CONCURRENT;
    private int mReportedMax = Integer.MAX_VALUE;
    private long mGapTargetMillis;
    private double mAverageGapMillis;
    private long mLastTakenMillis;
    private long mLastReceivedMillis;
    private long mLastChangeMillis;
    private int mReportedRequests;

    /**
     * Sets the configured bounds. A limit at the old maximum moves to the new one once a load
     * report was received.
     *
     * @param tokenGapTargetMillis maximum time between tokens in milliseconds, 0 for no bound
     */
    void setBounds(int maxConcurrent, long tokenGapTargetMillis) {
        int max = Math.max(1, maxConcurrent);
        boolean atConfiguredMax = mLastReceivedMillis > 0 && mLimit == mConfiguredMax;
        mConfiguredMax = max;
        mLimit = atConfiguredMax ? max : Math.min(mLimit, max);
        mGapTargetMillis = tokenGapTargetMillis;
    }

    /**
     * Applies a load report. The limit is not adapted to a report taken before the last change, as
     * it does not show the effect of the present limit. A report not newer than the last one is
     * ignored, except that it shows that reports still arrive.
     */
    void applyReport(LoadReport report, long nowMillis) {
        long takenMillis = Math.min(report.takenAtMillis(), nowMillis);
        mLastReceivedMillis = nowMillis;
        if (takenMillis <= mLastTakenMillis) {
            return;
        }
        mLastTakenMillis = takenMillis;
        mReportedRequests = Math.max(0, report.running()) + Math.max(0, report.waiting());
        if (report.maxRunning() > 0) {
            boolean first = mReportedMax == Integer.MAX_VALUE;
            mReportedMax = report.maxRunning();
            mLimit = first ? mReportedMax : mLimit;
        }
        if (takenMillis > mLastChangeMillis) {
            adapt(report, nowMillis);
        }
        setLimit(mLimit, mLastChangeMillis);
    }

    /**
     * Adds an observed time between two tokens of one answer to the moving average, and lowers the
     * limit if the average exceeds its target. Without a target every gap is ignored, otherwise one
     * that is not a number, negative or infinite.
     */
    void observeGap(double gapMillis, long nowMillis) {
        if (mGapTargetMillis <= 0 || !(gapMillis >= 0) || Double.isInfinite(gapMillis)) {
            return;
        }
        mAverageGapMillis =
                mAverageGapMillis == 0
                        ? gapMillis
                        : GAP_DECAY * mAverageGapMillis + (1 - GAP_DECAY) * gapMillis;
        if (gapTooLong() && nowMillis - mLastChangeMillis >= GAP_STEP_INTERVAL_MILLIS) {
            int step = Math.max(1, (int) (mLimit * GAP_STEP_RATIO));
            setLimit(mLimit - step, nowMillis);
        }
    }

    /** Adds the token gap that another instance observed, if it exceeds the own average. */
    void observeRemoteGap(double gapMillis, long nowMillis) {
        if (gapMillis > mAverageGapMillis) {
            observeGap(gapMillis, nowMillis);
        }
    }

    /** Returns the limit, halved if load reports were received before but have stopped. */
    int limit(long nowMillis) {
        boolean stopped =
                mLastReceivedMillis > 0 && nowMillis - mLastReceivedMillis > REPORT_TIMEOUT_MILLIS;
        return stopped ? Math.max(1, mLimit / 2) : mLimit;
    }

    /** Returns the running and queued requests in the last load report, 0 if it is outdated. */
    int reportedRequests(long nowMillis) {
        return nowMillis - mLastTakenMillis > REPORT_TIMEOUT_MILLIS ? 0 : mReportedRequests;
    }

    /** Returns the average time between two tokens in milliseconds, 0 while unknown. */
    long gapMillis() {
        return Math.round(mAverageGapMillis);
    }

    /**
     * Lowers the limit by the requests queued inside the upstream, but not below its running ones;
     * raises it by 1 if the limit is in use and the token gap is within its target.
     */
    private void adapt(LoadReport report, long nowMillis) {
        int running = Math.max(0, report.running());
        int waiting = Math.max(0, report.waiting());
        if (waiting > 0) {
            setLimit(Math.min(mLimit, Math.max(running, mLimit - waiting)), nowMillis);
        } else if (running >= mLimit && !gapTooLong()) {
            setLimit(mLimit + 1, nowMillis);
        }
    }

    private boolean gapTooLong() {
        return mGapTargetMillis > 0 && mAverageGapMillis > mGapTargetMillis;
    }

    private void setLimit(int limit, long nowMillis) {
        int bounded = Math.max(1, Math.min(limit, Math.min(mConfiguredMax, mReportedMax)));
        if (bounded != mLimit) {
            mLimit = bounded;
            mLastChangeMillis = nowMillis;
        }
    }
}
