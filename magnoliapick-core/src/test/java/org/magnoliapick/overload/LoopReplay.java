package org.magnoliapick.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Replays requests in virtual time on one event loop: each turn processes all work that was ready
 * when it began. An admitted request costs a part of its processor time when its head is read and
 * the rest when its upstream has responded.
 */
final class LoopReplay {
    static final long OBJECTIVE_MILLIS = 300;

    private static final double UPSTREAM_MILLIS = 30;
    private static final double PERIOD_MILLIS = 100;
    private static final long NEVER = Long.MAX_VALUE;

    private final Random mRandom = new Random(7);
    private final PriorityQueue<Work> mWork =
            new PriorityQueue<>((a, b) -> Double.compare(a.mReadyMillis, b.mReadyMillis));
    private final List<Double> mPausesMillis = new ArrayList<>();
    private final List<Work> mRequests = new ArrayList<>();
    private final Optional<AdmissionControl> mControl;
    private final double mCostMillis;
    private final double mRejectionCostMillis;

    /** Processor time per period of 100 ms, after which nothing runs until the next period. */
    private final double mQuotaMillis;

    /** The part of a request's cost that comes when its head is read. */
    private final double mHeadShare;

    private double mUpstreamMillis = UPSTREAM_MILLIS;
    private double mNowMillis;
    private double mUsedMillis;
    private long mPeriod;
    private long mPostedMillis = NEVER;
    private int mInFlight;

    LoopReplay(
            Optional<AdmissionControl> control,
            double costMillis,
            double rejectionCostMillis,
            double quotaMillis,
            double headShare) {
        mControl = control;
        mCostMillis = costMillis;
        mRejectionCostMillis = rejectionCostMillis;
        mQuotaMillis = quotaMillis;
        mHeadShare = headShare;
        control.ifPresent(each -> each.setShortestObjective(OBJECTIVE_MILLIS));
    }

    /** A request, from its arrival to its response. */
    static final class Work {
        final double mArrivedMillis;
        private double mReadyMillis;
        private final double mUpstreamMillis;
        private boolean mSent;

        /** When the response was relayed; 0 if the request was rejected. */
        double mEndMillis;

        Optional<Rejection> mRejection = Optional.empty();

        private Work(double arrivedMillis, double upstreamMillis) {
            mUpstreamMillis = upstreamMillis;
            mArrivedMillis = arrivedMillis;
            mReadyMillis = arrivedMillis;
        }

        boolean isOnTime() {
            return mEndMillis > 0
                    && mEndMillis - mArrivedMillis
                            <= OBJECTIVE_MILLIS + mUpstreamMillis - UPSTREAM_MILLIS;
        }
    }

    /** Sets how long the upstreams take for the requests that are added from now on. */
    LoopReplay upstreamMillis(double millis) {
        mUpstreamMillis = millis;
        return this;
    }

    /** Adds requests that arrive at random. */
    LoopReplay arrivals(double fromMillis, double toMillis, double perSecond) {
        double at = fromMillis;
        while (true) {
            at += -Math.log(1 - mRandom.nextDouble()) * 1_000 / perSecond;
            if (at >= toMillis) {
                return this;
            }
            add(at);
        }
    }

    /** Adds a request. */
    void add(double atMillis) {
        Work work = new Work(atMillis, mUpstreamMillis);
        mWork.add(work);
        mRequests.add(work);
    }

    /** Adds a garbage collection of 100 ms. */
    void pause(double atMillis) {
        mPausesMillis.add(atMillis);
    }

    /** Runs until all requests have ended; returns them. */
    List<Work> run() {
        while (!mWork.isEmpty()) {
            double nextMillis = mWork.peek().mReadyMillis;
            if (mPostedMillis != NEVER) {
                nextMillis = Math.min(nextMillis, mPostedMillis + 1);
            }
            mNowMillis = Math.max(mNowMillis, nextMillis);
            turn();
        }
        return mRequests;
    }

    private void turn() {
        List<Work> ready = new ArrayList<>();
        while (!mWork.isEmpty() && mWork.peek().mReadyMillis <= mNowMillis) {
            ready.add(mWork.poll());
        }
        ready.forEach(this::process);
        long nowMillis = (long) mNowMillis;
        if (mPostedMillis != NEVER && nowMillis > mPostedMillis) {
            long delayMillis = nowMillis - mPostedMillis - 1;
            mPostedMillis = NEVER;
            if (mControl.get().endMeasurement(delayMillis, nowMillis)) {
                post();
            }
        }
    }

    private void post() {
        mPostedMillis = (long) mNowMillis;
        mControl.get().beginMeasurement(mPostedMillis);
    }

    private void process(Work work) {
        if (work.mSent) {
            spend(mCostMillis * (1 - mHeadShare));
            work.mEndMillis = mNowMillis;
            mInFlight--;
            return;
        }
        if (mControl.isPresent()) {
            if (mControl.get().needsMeasurement()) {
                post();
            }
            RequestNeed need = new RequestNeed(OBJECTIVE_MILLIS, OptionalLong.empty(), 30);
            work.mRejection =
                    mControl.get().decide(() -> Optional.of(need), mInFlight, (long) mNowMillis);
        }
        if (work.mRejection.isPresent()) {
            spend(mRejectionCostMillis);
            return;
        }
        spend(mCostMillis * mHeadShare);
        mInFlight++;
        work.mSent = true;
        work.mReadyMillis = mNowMillis + mUpstreamMillis;
        mWork.add(work);
    }

    private void spend(double millis) {
        mNowMillis += millis;
        while (!mPausesMillis.isEmpty() && mPausesMillis.get(0) <= mNowMillis) {
            mPausesMillis.remove(0);
            mNowMillis += 100;
        }
        long period = (long) (mNowMillis / PERIOD_MILLIS);
        if (period != mPeriod) {
            mPeriod = period;
            mUsedMillis = 0;
        }
        mUsedMillis += millis;
        if (mUsedMillis >= mQuotaMillis) {
            mNowMillis = (mPeriod + 1) * PERIOD_MILLIS;
        }
    }
}
