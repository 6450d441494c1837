package org.magnoliapick.relay;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.errors.Outcome;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.request.AttemptEnd;

/**
 * Decides the next step after each attempt of a request: a retry, a resume or the final answer. A
 * request that may have run is never reported as not run.
 */
public final class RelayAttempts {
    /** The minimum time left for an attempt to be worth sending, in milliseconds. */
    private static final long MIN_ATTEMPT_MILLIS = 20;

    /** The number of attempts that provably did not run after which the request is not retried. */
    private static final int MAX_REFUSALS = 3;

    private final RelayRequest mRequest;
    private final Set<UpstreamId> mTried = new HashSet<>();
    private int mRuns;
    private int mRefusals;
    private int mSends;
    private boolean mMayHaveRun;
    private boolean mHeadRelayed;
    private long mLastEvent;

    /** Whether each event that was relayed has the number after that of the one before it. */
    private boolean mNumberedWithoutGap = true;

    /** Creates the state of a request that has not been sent to any upstream. */
    public RelayAttempts(RelayRequest request) {
        mRequest = request;
        mLastEvent = request.resumeAfter().orElse(0);
    }

    /**
     * Records that bytes of the request are sent to an upstream, which retries then avoid while
     * there are others.
     */
    public void sent(UpstreamId upstream) {
        mSends++;
        mTried.add(upstream);
    }

    /** Records that the head of the answer was relayed to the caller. */
    public void headRelayed() {
        mHeadRelayed = true;
    }

    /** Records that a complete event was relayed to the caller. */
    public void eventRelayed(long eventId) {
        mNumberedWithoutGap &= eventId == mLastEvent + 1;
        mLastEvent = eventId;
    }

    /** Records that a complete event without a number was relayed to the caller. */
    public void unnumberedEventRelayed() {
        mNumberedWithoutGap = false;
    }

    /**
     * Returns whether an event of a resumed stream may be relayed next. If all events up to now
     * were numbered without a gap, it has to be the next one.
     */
    public boolean mayFollow(OptionalLong eventId) {
        return !mNumberedWithoutGap
                || (eventId.isPresent() && eventId.getAsLong() == mLastEvent + 1);
    }

    /** Returns the identifier of the last event that the caller received; 0 if none. */
    public long lastEvent() {
        return mLastEvent;
    }

    /** Returns the upstreams that the request was sent to. */
    public Set<UpstreamId> tried() {
        return Set.copyOf(mTried);
    }

    /** Returns how often the request was sent to an upstream. */
    public int sends() {
        return mSends;
    }

    /** Returns whether the request may have run. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns whether the head of the answer was relayed to the caller. */
    public boolean isHeadRelayed() {
        return mHeadRelayed;
    }

    /**
     * Records the end of an attempt and returns the step that follows it.
     *
     * @param budget the budget that a retry is taken from, unless the attempt sent nothing
     */
    public RelayStep nextStep(AttemptEnd end, FleetRetryBudget budget, long nowMillis) {
        if (end.provesNotRun()) {
            return stepAfterRefusal(end, budget, nowMillis);
        }
        mMayHaveRun = true;
        mRuns++;
        if (mHeadRelayed) {
            return tryResume(budget, nowMillis)
                    ? new RelayStep.Resume(mLastEvent)
                    : new RelayStep.Abort(end.errorKind());
        }
        if (tryRunAgain(budget, nowMillis)) {
            return new RelayStep.Retry();
        }
        return end == AttemptEnd.FAILED ? new RelayStep.RelayFailure() : fail(end.errorKind());
    }

    /**
     * Records the end of an attempt after which the request may have run and must not be sent
     * again; returns the step that follows it.
     */
    public RelayStep lastStep(AttemptEnd end) {
        mMayHaveRun = true;
        mRuns++;
        return mHeadRelayed ? new RelayStep.Abort(end.errorKind()) : fail(end.errorKind());
    }

    private RelayStep stepAfterRefusal(AttemptEnd end, FleetRetryBudget budget, long nowMillis) {
        mRefusals++;
        // The budget limits arrivals at upstreams; an attempt that was not sent was none.
        boolean arrived = end != AttemptEnd.NOT_SENT;
        boolean retry =
                mRefusals < MAX_REFUSALS
                        && hasTimeLeft(nowMillis)
                        && (!arrived || budget.tryRetry(mRequest.service(), nowMillis));
        if (mHeadRelayed) {
            return retry
                    ? new RelayStep.Resume(mLastEvent)
                    : new RelayStep.Abort(ErrorKind.UPSTREAM_LOST);
        }
        return retry ? new RelayStep.Retry() : fail(ErrorKind.UPSTREAM_REFUSED);
    }

    /**
     * Returns whether the request might be sent again if the current attempt, which is running, was
     * cancelled now.
     */
    public boolean mayRunAgain(FleetRetryBudget budget, long nowMillis) {
        return hasAttemptLeft(mRuns + 1, nowMillis)
                && budget.allowsRetry(mRequest.service(), nowMillis);
    }

    private boolean tryRunAgain(FleetRetryBudget budget, long nowMillis) {
        return hasAttemptLeft(mRuns, nowMillis) && budget.tryRetry(mRequest.service(), nowMillis);
    }

    private boolean hasAttemptLeft(int runs, long nowMillis) {
        return mRequest.route().retryable()
                && runs < mRequest.route().maxAttempts()
                && hasTimeLeft(nowMillis);
    }

    private boolean tryResume(FleetRetryBudget budget, long nowMillis) {
        return mRequest.route().resumable() && tryRunAgain(budget, nowMillis);
    }

    private boolean hasTimeLeft(long nowMillis) {
        return nowMillis + MIN_ATTEMPT_MILLIS < mRequest.effectiveDeadlineMillis();
    }

    /**
     * Returns the kind to report if the request fails with a kind, at the end of an attempt or
     * between two: a kind whose outcome is not run is replaced if the request may have run.
     */
    public ErrorKind reportableKind(ErrorKind kind) {
        if (!mMayHaveRun || kind.outcome() != Outcome.NOT_RUN) {
            return kind;
        }
        return kind == ErrorKind.DEADLINE_BEFORE_START
                ? ErrorKind.DEADLINE_AFTER_START
                : ErrorKind.UPSTREAM_LOST;
    }

    /** Records that the current attempt was abandoned after bytes of the request were sent. */
    public void abandonedAfterSend() {
        mMayHaveRun = true;
    }

    private RelayStep fail(ErrorKind kind) {
        return new RelayStep.Fail(reportableKind(kind));
    }
}
