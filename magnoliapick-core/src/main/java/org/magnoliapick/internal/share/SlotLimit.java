package org.magnoliapick.internal.share;

import org.magnoliapick.config.TargetConfig;
import org.magnoliapick.share.LoadReport;

/**
 * How many requests one upstream gets at once: a full batch with almost nothing queued inside it.
 * It follows load reports, which may be late, and the observed time between tokens.
 */
final class SlotLimit {
    /** The limit before the first load report, which tells how large the batch can be. */
    private static final int FIRST_LIMIT = 8;

    private static final long REPORT_STOPPED_MILLIS = 5_000;
    private static final long GAP_SETTLE_MILLIS = 1_000;
    private static final double GAP_MEMORY = 0.9;
    private static final double GAP_STEP_RATIO = 0.05;

    private int mLimit = FIRST_LIMIT;
    private int mConfiguredMax = TargetConfig.DEFAULT_MAX_CONCURRENT;
    private int mReportedMax = Integer.MAX_VALUE;
    private long mGapTargetMillis;
    private double mGapMillis;
    private long mLastTakenMillis;
    private long mLastReceivedMillis;
    private long mLastChangeMillis;
    private int mReportedInside;

    /** Takes the bounds of the configuration; a gap target of 0 is none. */
    void setBounds(int maxConcurrent, long tokenGapTargetMillis) {
        int max = Math.max(1, maxConcurrent);
        boolean widened = mLastReceivedMillis > 0 && mLimit == mConfiguredMax;
        mConfiguredMax = max;
        mLimit = widened ? max : Math.min(mLimit, max);
        mGapTargetMillis = tokenGapTargetMillis;
    }

    /**
     * Takes a load report. A report taken before the last change says nothing about the present
     * limit and is only noted.
     */
    void applyReport(LoadReport report, long nowMillis) {
        long takenMillis = Math.min(report.takenAtMillis(), nowMillis);
        mLastReceivedMillis = nowMillis;
        if (takenMillis <= mLastTakenMillis) {
            return;
        }
        mLastTakenMillis = takenMillis;
        mReportedInside = Math.max(0, report.running()) + Math.max(0, report.waiting());
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

    /** Takes the observed time between two tokens of one answer, in milliseconds. */
    void observeGap(double gapMillis, long nowMillis) {
        if (mGapTargetMillis <= 0 || !(gapMillis >= 0) || Double.isInfinite(gapMillis)) {
            return;
        }
        mGapMillis =
                mGapMillis == 0
                        ? gapMillis
                        : GAP_MEMORY * mGapMillis + (1 - GAP_MEMORY) * gapMillis;
        if (gapTooLong() && nowMillis - mLastChangeMillis >= GAP_SETTLE_MILLIS) {
            int step = Math.max(1, (int) (mLimit * GAP_STEP_RATIO));
            setLimit(mLimit - step, nowMillis);
        }
    }

    /** Takes the time between tokens that another instance observed, if it is the longer one. */
    void observeRemoteGap(double gapMillis, long nowMillis) {
        if (gapMillis > mGapMillis) {
            observeGap(gapMillis, nowMillis);
        }
    }

    /** Returns the limit; it is halved while load reports that used to come have stopped. */
    int limit(long nowMillis) {
        boolean stopped =
                mLastReceivedMillis > 0 && nowMillis - mLastReceivedMillis > REPORT_STOPPED_MILLIS;
        return stopped ? Math.max(1, mLimit / 2) : mLimit;
    }

    /** Returns the requests inside the upstream by its last report, 0 if it is too old. */
    int reportedRequests(long nowMillis) {
        return nowMillis - mLastTakenMillis > REPORT_STOPPED_MILLIS ? 0 : mReportedInside;
    }

    /** Returns the observed time between two tokens in milliseconds, 0 while unknown. */
    long gapMillis() {
        return Math.round(mGapMillis);
    }

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
        return mGapTargetMillis > 0 && mGapMillis > mGapTargetMillis;
    }

    private void setLimit(int limit, long nowMillis) {
        int bounded = Math.max(1, Math.min(limit, Math.min(mConfiguredMax, mReportedMax)));
        if (bounded != mLimit) {
            mLimit = bounded;
            mLastChangeMillis = nowMillis;
        }
    }
}
