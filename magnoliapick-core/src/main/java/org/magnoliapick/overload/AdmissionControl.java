package org.magnoliapick.overload;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decides which requests an instance admits while it gets more than its event loop can process.
 * Answers a flood of requests from many callers, on machines that run only for a part of the time.
 *
 * <p>The instance is overloaded when the loop has a standing delay: the least time that ready work
 * waited stayed above a target during an interval (CoDel). A pause, or a burst that the loop works
 * off, is followed by a sample below the target and is no overload. While overloaded, each turn of
 * the loop admits requests until it has lasted as long as the target, and rejects those read after
 * that.
 */
public final class AdmissionControl {
    /**
     * How long the delay stays above the target before the instance counts as overloaded, in
     * milliseconds: three periods of a processor quota of 100 ms. A machine under such a quota is
     * behind by most of a period in each of them without being overloaded.
     */
    static final long INTERVAL_MILLIS = 300;

    /**
     * After how long a small delay above the target counts as overload too, in milliseconds. At a
     * utilization of 0.95, working off a pause of 100 ms takes nearly that long.
     */
    static final long MAX_INTERVAL_MILLIS = 1_500;

    /**
     * How long requests are rejected without any delay, in milliseconds. This bounds what is lost
     * if the rate of admission is too low.
     */
    private static final long MAX_REJECTING_MILLIS = 3_000;

    /**
     * The target is this fraction of the shortest objective. A request passes the loop about four
     * times (head, placement, connection, response), so it waits for a third of its objective.
     */
    private static final int TARGET_DIVISOR = 12;

    private static final long MIN_TARGET_MILLIS = 10;
    private static final long MAX_TARGET_MILLIS = 50;

    /** Part of the shortest objective at which a delay counts after the shorter interval. */
    private static final int HARM_DIVISOR = 4;

    /** The minimum of that delay, in milliseconds: the period of a processor quota. */
    private static final long MIN_HARM_MILLIS = 100;

    private static final long MAX_HARM_MILLIS = 500;

    private static final long MIN_RETRY_MILLIS = 100;

    /** The maximum of the advice to callers, in milliseconds; a load is not known for longer. */
    private static final long MAX_RETRY_MILLIS = 2_000;

    /** By which factor the rate of admission exceeds that of ended requests, without delay. */
    private static final double RAISING = 1.1;

    /** By which factor it is lowered at most and at least while there is a delay. */
    private static final double MIN_LOWERING = 0.5;

    private static final double MAX_LOWERING = 0.9;

    /** The weight of the last interval in the rate at which requests end. */
    private static final double INTERVAL_WEIGHT = 0.5;

    /** The time whose admissions may come at once, in milliseconds: the period of a quota. */
    private static final double BURST_MILLIS = 100;

    private static final long NONE = -1;

    private final Map<Rejection.Cause, Long> mRejected = new EnumMap<>(Rejection.Cause.class);
    private long mTargetMillis = MAX_TARGET_MILLIS;
    private long mHarmMillis = MAX_HARM_MILLIS;

    /** When the work was posted whose delay is being measured. */
    private long mPostedMillis = NONE;

    private long mDelayMillis;

    /** Since when all samples were above the target. */
    private long mAboveSinceMillis = NONE;

    /** Since when all samples were at most the target, while overloaded. */
    private long mBelowSinceMillis = NONE;

    private boolean mOverloaded;

    /** The rate at which requests ended in the last intervals, per millisecond. */
    private double mEndedPerMilli;

    /** The rate at which requests are admitted while overloaded, per millisecond. */
    private double mAdmittedPerMilli;

    /** The number of requests that may be admitted now while overloaded, and since when. */
    private double mTokens;

    private long mTokensMillis;

    private long mRejectedMillis;
    private long mAdmitted;
    private long mWindowStartMillis = NONE;
    private long mWindowAdmitted;
    private long mWindowInFlight;
    private long mWindowMinDelayMillis = Long.MAX_VALUE;
    private double mMillisPerAdmitted = INTERVAL_MILLIS;

    /** When all callers that were told to retry will have been served at the present rate. */
    private double mDrainedMillis;

    /** Sets the shortest objective of all routes, from which the thresholds are derived. */
    public void setShortestObjective(long objectiveMillis) {
        mTargetMillis =
                clamp(objectiveMillis / TARGET_DIVISOR, MIN_TARGET_MILLIS, MAX_TARGET_MILLIS);
        mHarmMillis = clamp(objectiveMillis / HARM_DIVISOR, MIN_HARM_MILLIS, MAX_HARM_MILLIS);
    }

    private static long clamp(long value, long min, long max) {
        return Math.max(min, Math.min(max, value));
    }

    /**
     * Returns whether work should be posted to the loop now, to measure how long it waits. While a
     * measurement is in progress, none is begun.
     */
    public boolean needsMeasurement() {
        return mPostedMillis == NONE;
    }

    /** Records that work was posted, whose wait the next sample states. */
    public void beginMeasurement(long nowMillis) {
        mPostedMillis = nowMillis;
    }

    /**
     * Records how long the posted work waited after it was ready.
     *
     * @return whether a further measurement should begin at once, because only that tells whether
     *     the delay stays
     */
    public boolean endMeasurement(long delayMillis, long nowMillis) {
        mPostedMillis = NONE;
        mDelayMillis = delayMillis;
        mWindowMinDelayMillis = Math.min(mWindowMinDelayMillis, delayMillis);
        boolean above = delayMillis > mTargetMillis;
        if (!above) {
            mAboveSinceMillis = NONE;
            if (mBelowSinceMillis == NONE) {
                mBelowSinceMillis = nowMillis;
            }
        } else {
            mBelowSinceMillis = NONE;
            if (mAboveSinceMillis == NONE) {
                mAboveSinceMillis = nowMillis;
            }
        }
        update(nowMillis);
        return above;
    }

    private void update(long nowMillis) {
        if (mOverloaded) {
            mOverloaded = isStillOverloaded(nowMillis);
        } else if (isDelayStanding(nowMillis)) {
            mOverloaded = true;
        }
    }

    /**
     * Returns whether an overload lasts. While requests are still being rejected, the delay may be
     * low only for that reason, so this takes longer.
     */
    private boolean isStillOverloaded(long nowMillis) {
        if (mBelowSinceMillis == NONE) {
            return true;
        }
        boolean rejecting = nowMillis - mRejectedMillis < INTERVAL_MILLIS;
        return nowMillis - mBelowSinceMillis < (rejecting ? MAX_REJECTING_MILLIS : INTERVAL_MILLIS);
    }

    private boolean isDelayStanding(long nowMillis) {
        if (mAboveSinceMillis == NONE) {
            return false;
        }
        long aboveMillis = nowMillis - mAboveSinceMillis;
        return aboveMillis >= MAX_INTERVAL_MILLIS
                || (aboveMillis >= INTERVAL_MILLIS && delayMillis(nowMillis) >= mHarmMillis);
    }

    /** Returns how long ready work waits, by the last sample and the one in progress. */
    public long delayMillis(long nowMillis) {
        return Math.max(mDelayMillis, turnMillis(nowMillis));
    }

    /** Returns for how long the present turn of the loop has lasted, as far as known. */
    private long turnMillis(long nowMillis) {
        return mPostedMillis == NONE ? 0 : nowMillis - mPostedMillis;
    }

    /** Returns whether the instance is overloaded. */
    public boolean isOverloaded(long nowMillis) {
        update(nowMillis);
        return mOverloaded;
    }

    /** Returns whether ready work waits for longer than the target, be it for a moment only. */
    public boolean isBehind(long nowMillis) {
        return delayMillis(nowMillis) > mTargetMillis;
    }

    /**
     * Decides whether a request is rejected, when its head was read.
     *
     * @param need how soon it has to be answered; used only while overloaded, and empty if unknown
     * @param inFlight the number of requests in flight; without any, a request is admitted
     */
    public Optional<Rejection> decide(
            Supplier<Optional<RequestNeed>> need, int inFlight, long nowMillis) {
        update(nowMillis);
        advanceWindow(inFlight, nowMillis);
        if (mOverloaded && inFlight > 0) {
            refillTokens(nowMillis);
            if (mTokens < 1 || turnMillis(nowMillis) > admittingMillis()) {
                return Optional.of(reject(Rejection.Cause.STANDING_DELAY, nowMillis));
            }
            // The request arrived while the previous turn lasted, on average in its middle, and its
            // response will wait for the present one.
            long waitMillis = turnMillis(nowMillis) + mDelayMillis / 2 + mDelayMillis;
            if (need.get().filter(each -> !each.canBeMet(waitMillis)).isPresent()) {
                return Optional.of(reject(Rejection.Cause.TOO_LATE, nowMillis));
            }
            mTokens--;
        }
        mAdmitted++;
        mWindowAdmitted++;
        return Optional.empty();
    }

    /**
     * Returns for how long a turn admits requests while the instance is overloaded. Rejections cost
     * time too, so a turn lasts a multiple of this; it is lowered if the multiple is so large that
     * admitted requests would be late.
     */
    private long admittingMillis() {
        return mDelayMillis <= mHarmMillis
                ? mTargetMillis
                : mTargetMillis * mHarmMillis / mDelayMillis;
    }

    private void advanceWindow(int inFlight, long nowMillis) {
        long windowMillis = nowMillis - mWindowStartMillis;
        if (mWindowStartMillis == NONE || windowMillis >= INTERVAL_MILLIS) {
            if (mWindowStartMillis != NONE) {
                mMillisPerAdmitted = (double) windowMillis / Math.max(1, mWindowAdmitted);
                long ended = mWindowAdmitted + mWindowInFlight - inFlight;
                setRate((double) ended / windowMillis);
            }
            mWindowStartMillis = nowMillis;
            mWindowAdmitted = 0;
            mWindowInFlight = inFlight;
            mWindowMinDelayMillis = Long.MAX_VALUE;
        }
    }

    /**
     * Sets the rate of admission to a part of the rate at which requests end while the least delay
     * of an interval is above the target, and to slightly more than that otherwise. Without this, a
     * turn could admit many requests whose cost comes later, when they are sent or answered.
     */
    private void setRate(double endedPerMilli) {
        mEndedPerMilli += INTERVAL_WEIGHT * (endedPerMilli - mEndedPerMilli);
        double factor = RAISING;
        if (mWindowMinDelayMillis != Long.MAX_VALUE && mWindowMinDelayMillis > mTargetMillis) {
            double ratio = (double) mTargetMillis / mWindowMinDelayMillis;
            factor = Math.max(MIN_LOWERING, Math.min(MAX_LOWERING, ratio));
        }
        mAdmittedPerMilli = factor * mEndedPerMilli + 1.0 / INTERVAL_MILLIS;
    }

    private void refillTokens(long nowMillis) {
        mTokens += (nowMillis - mTokensMillis) * mAdmittedPerMilli;
        mTokens = Math.min(mTokens, Math.max(1, BURST_MILLIS * mAdmittedPerMilli));
        mTokensMillis = nowMillis;
    }

    /**
     * Counts a rejection. Its caller is told to retry when the backlog and the callers that were
     * rejected before it will have been served at the rate of the last interval.
     */
    private Rejection reject(Rejection.Cause cause, long nowMillis) {
        mRejected.merge(cause, 1L, Long::sum);
        mRejectedMillis = nowMillis;
        double backlogEndMillis = nowMillis + delayMillis(nowMillis);
        mDrainedMillis =
                Math.min(
                        nowMillis + MAX_RETRY_MILLIS,
                        Math.max(mDrainedMillis, backlogEndMillis) + mMillisPerAdmitted);
        long retryMillis = Math.round(mDrainedMillis - nowMillis);
        return new Rejection(cause, clamp(retryMillis, MIN_RETRY_MILLIS, MAX_RETRY_MILLIS));
    }

    /** Returns the number of requests admitted so far. */
    public long admittedCount() {
        return mAdmitted;
    }

    /** Returns the number of requests rejected so far for a cause. */
    public long rejectedCount(Rejection.Cause cause) {
        return mRejected.getOrDefault(cause, 0L);
    }
}
