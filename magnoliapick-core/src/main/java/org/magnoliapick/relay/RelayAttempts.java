package org.magnoliapick.relay;

import java.util.HashSet;
import java.util.Set;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.errors.Outcome;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.request.AttemptEnd;

/**
 * Decides after each attempt of a request what follows: another attempt, a resume, or the final
 * answer. A request that may have run is never said not to have run.
 */
public final class RelayAttempts {
    /** The least time that an attempt needs to be worth sending. */
    private static final long LEAST_ATTEMPT_MILLIS = 20;

    /** How often a request that upstreams turned away unrun is offered again. */
    private static final int MOST_REFUSALS = 3;

    private final RelayRequest mRequest;
    private final Set<UpstreamId> mTried = new HashSet<>();
    private int mRuns;
    private int mRefusals;
    private int mSends;
    private boolean mMayHaveRun;
    private boolean mHeadRelayed;
    private long mLastEvent;

    /** Creates the record of a request that has not been sent anywhere. */
    public RelayAttempts(RelayRequest request) {
        mRequest = request;
        mLastEvent = request.resumeAfter().orElse(0);
    }

    /** Notes that bytes of the request leave for an upstream. */
    public void sent(UpstreamId upstream) {
        mSends++;
        mTried.add(upstream);
    }

    /** Notes that the head of the answer was relayed to the caller. */
    public void headRelayed() {
        mHeadRelayed = true;
    }

    /** Notes that a whole event was relayed to the caller. */
    public void eventRelayed(long eventId) {
        mLastEvent = eventId;
    }

    /** Returns the last event that the caller has. */
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

    /** Returns whether the head of the answer was relayed. */
    public boolean isHeadRelayed() {
        return mHeadRelayed;
    }

    /**
     * Decides what follows the end of an attempt.
     *
     * @param budget pays for another arrival at an upstream
     */
    public RelayStep nextStep(AttemptEnd end, FleetRetryBudget budget, long nowMillis) {
        if (end.provesNotRun()) {
            return afterRefusal(end, budget, nowMillis);
        }
        mMayHaveRun = true;
        mRuns++;
        if (mHeadRelayed) {
            return mayResume(budget, nowMillis)
                    ? new RelayStep.Resume(mLastEvent)
                    : new RelayStep.Abort(end.errorKind());
        }
        if (mayRunAgain(budget, nowMillis)) {
            return new RelayStep.Retry();
        }
        return end == AttemptEnd.FAILED ? new RelayStep.RelayFailure() : fail(end.errorKind());
    }

    private RelayStep afterRefusal(AttemptEnd end, FleetRetryBudget budget, long nowMillis) {
        mRefusals++;
        boolean arrived = end != AttemptEnd.NOT_SENT;
        boolean offer =
                mRefusals < MOST_REFUSALS
                        && timeLeft(nowMillis)
                        && (!arrived || budget.tryRetry(mRequest.service(), nowMillis));
        if (mHeadRelayed) {
            return offer
                    ? new RelayStep.Resume(mLastEvent)
                    : new RelayStep.Abort(ErrorKind.UPSTREAM_LOST);
        }
        return offer ? new RelayStep.Retry() : fail(ErrorKind.UPSTREAM_REFUSED);
    }

    private boolean mayRunAgain(FleetRetryBudget budget, long nowMillis) {
        return mRequest.route().repeatable()
                && mRuns < mRequest.route().maxAttempts()
                && timeLeft(nowMillis)
                && budget.tryRetry(mRequest.service(), nowMillis);
    }

    private boolean mayResume(FleetRetryBudget budget, long nowMillis) {
        return mRequest.route().resumable() && mayRunAgain(budget, nowMillis);
    }

    private boolean timeLeft(long nowMillis) {
        return nowMillis + LEAST_ATTEMPT_MILLIS < mRequest.effectiveDeadlineMillis();
    }

    /** Returns the kind with which the request fails now for another reason than an attempt. */
    public ErrorKind reportableKind(ErrorKind kind) {
        if (!mMayHaveRun || kind.outcome() != Outcome.NOT_RUN) {
            return kind;
        }
        return kind == ErrorKind.DEADLINE_BEFORE_START
                ? ErrorKind.DEADLINE_AFTER_START
                : ErrorKind.UPSTREAM_LOST;
    }

    /** Notes that the current attempt was given up after bytes had left. */
    public void abandonedAfterSend() {
        mMayHaveRun = true;
    }

    private RelayStep fail(ErrorKind kind) {
        return new RelayStep.Fail(reportableKind(kind));
    }
}
