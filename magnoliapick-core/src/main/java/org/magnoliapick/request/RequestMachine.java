package org.magnoliapick.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.claim.ClaimVerdict;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.share.AttemptOutcome;

/**
 * State machine of one request. It must be called by one thread at a time. Each event returns the
 * actions to execute, in order. Late and duplicate events and events of an earlier attempt are
 * dropped and counted.
 */
public final class RequestMachine {
    /** The maximum number of attempts of one request, including the first. */
    public static final int MAX_ATTEMPTS = 3;

    /** The maximum number of times that one attempt is resumed. */
    public static final int MAX_RESUMES = 3;

    private final RequestPlan mPlan;
    private final RetryAllowance mAllowance;
    private final RunRecord mRuns = new RunRecord();
    private final RequestClaim mClaim;
    private final List<RequestAction> mActions = new ArrayList<>();
    private RequestState mState = RequestState.RECEIVED;
    private Optional<AttemptId> mAttempt = Optional.empty();
    private Optional<UpstreamId> mUpstream = Optional.empty();
    private int mAttempts;
    private int mResumes;
    private int mChunksTaken;
    private boolean mHeadRelayed;
    private boolean mCallerGone;
    private long mDroppedEvents;

    /** Creates the state machine of a request that was just received. */
    public RequestMachine(RequestPlan plan, RetryAllowance allowance) {
        mPlan = Objects.requireNonNull(plan, "plan");
        mClaim = new RequestClaim(plan.claim());
        mAllowance = Objects.requireNonNull(allowance, "allowance");
    }

    /** Returns the state of the request. */
    public RequestState state() {
        return mState;
    }

    /** Returns the current attempt, if a slot is held. */
    public Optional<AttemptId> attempt() {
        return mAttempt;
    }

    /** Returns whether the request may have run at an upstream. */
    public boolean mayHaveRun() {
        return mRuns.mayHaveRun();
    }

    /** Returns the number of late, duplicate or outdated events that were dropped. */
    public long droppedEvents() {
        return mDroppedEvents;
    }

    /** Handles an event and returns the actions to execute, in order. */
    public List<RequestAction> handle(RequestEvent event, long nowMillis) {
        mActions.clear();
        if (event instanceof RequestEvent.SlotGranted granted) {
            onSlotGranted(granted, nowMillis);
        } else if (mState.isFinal()) {
            mDroppedEvents++;
        } else if (!onAttemptEvent(event, nowMillis)) {
            onRequestEvent(event, nowMillis);
        }
        return List.copyOf(mActions);
    }

    private boolean onAttemptEvent(RequestEvent event, long nowMillis) {
        if (event instanceof RequestEvent.ReadyToSend ready) {
            ifCurrent(ready.attempt(), () -> onReadyToSend(nowMillis));
        } else if (event instanceof RequestEvent.HeadReceived head) {
            ifCurrent(head.attempt(), this::onHead);
        } else if (event instanceof RequestEvent.ChunkReceived chunk) {
            ifCurrent(chunk.attempt(), () -> onChunk(chunk.index(), nowMillis));
        } else if (event instanceof RequestEvent.EndReceived end) {
            ifCurrent(end.attempt(), () -> onEnd(nowMillis));
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            ifCurrent(failed.attempt(), () -> onAttemptFailed(failed.end(), nowMillis));
        } else {
            return false;
        }
        return true;
    }

    private void onRequestEvent(RequestEvent event, long nowMillis) {
        if (event instanceof RequestEvent.Admitted) {
            onAdmitted(nowMillis);
        } else if (event instanceof RequestEvent.ClaimDecided decided) {
            onClaimDecided(decided.verdict(), nowMillis);
        } else if (event instanceof RequestEvent.KeptAnswerFound) {
            onKeptAnswer(true);
        } else if (event instanceof RequestEvent.KeptAnswerMissing) {
            onKeptAnswer(false);
        } else if (event instanceof RequestEvent.Refused refused) {
            onRefused(refused);
        } else if (event instanceof RequestEvent.DeadlinePassed) {
            fail(deadlineKind(), Optional.empty());
        } else if (event instanceof RequestEvent.CallerGone) {
            onCallerGone();
        } else if (event instanceof RequestEvent.Stopping) {
            onStopping();
        } else {
            throw new IllegalStateException("No transition for event " + event);
        }
    }

    private void ifCurrent(AttemptId attempt, Runnable handler) {
        if (mAttempt.filter(attempt::equals).isPresent()) {
            handler.run();
        } else {
            mDroppedEvents++;
        }
    }

    private void onAdmitted(long nowMillis) {
        if (mState != RequestState.RECEIVED) {
            mDroppedEvents++;
        } else if (nowMillis >= mPlan.deadlineMillis()) {
            fail(deadlineKind(), Optional.empty());
        } else if (mClaim.isRequired()) {
            mState = RequestState.CLAIMING;
            mActions.add(mClaim.append());
        } else {
            enqueue(Set.of());
        }
    }

    private void enqueue(Set<UpstreamId> excluded) {
        mState = RequestState.QUEUED;
        mActions.add(new RequestAction.Submit(excluded));
    }

    private void onClaimDecided(ClaimVerdict verdict, long nowMillis) {
        if (mState != RequestState.CLAIMING || mClaim.isFetching()) {
            mDroppedEvents++;
        } else if (verdict instanceof ClaimVerdict.Won) {
            onClaimWon(nowMillis);
        } else {
            onClaimLost(verdict);
        }
    }

    private void onClaimWon(long nowMillis) {
        if (nowMillis >= mPlan.deadlineMillis()) {
            fail(deadlineKind(), Optional.empty());
        } else {
            enqueue(Set.of());
        }
    }

    private void onClaimLost(ClaimVerdict verdict) {
        Optional<RequestAction> fetch = mClaim.fetchEarlierAnswer(verdict);
        if (fetch.isPresent()) {
            mActions.add(fetch.get());
        } else if (verdict instanceof ClaimVerdict.KeyReused) {
            fail(ErrorKind.KEY_REUSED, Optional.empty());
        } else {
            fail(ErrorKind.CLAIM_OUTCOME_UNKNOWN, Optional.empty());
        }
    }

    private void onKeptAnswer(boolean found) {
        if (!mClaim.isFetching()) {
            mDroppedEvents++;
        } else if (found) {
            mState = RequestState.WHOLE;
            mActions.add(new RequestAction.AnswerKept());
        } else {
            fail(mClaim.missingAnswerKind(), Optional.empty());
        }
    }

    private void onSlotGranted(RequestEvent.SlotGranted granted, long nowMillis) {
        if (mState.holdsSlot()) {
            mDroppedEvents++;
        } else if (mState != RequestState.QUEUED) {
            mDroppedEvents++;
            mActions.add(new RequestAction.ReleaseSlot(AttemptOutcome.CANCELLED));
        } else if (nowMillis >= mPlan.deadlineMillis()) {
            // The request holds the slot now, so fail() releases it.
            mState = RequestState.GRANTED;
            fail(deadlineKind(), Optional.empty());
        } else if (mUpstream.filter(granted.upstream()::equals).isPresent()) {
            // The last attempt failed at this upstream, so the request was queued to exclude it.
            mActions.add(new RequestAction.ReleaseSlot(AttemptOutcome.CANCELLED));
            enqueue(Set.of(granted.upstream()));
        } else {
            grant(granted);
        }
    }

    private void grant(RequestEvent.SlotGranted granted) {
        mState = RequestState.GRANTED;
        mAttempt = Optional.of(granted.attempt());
        mUpstream = Optional.of(granted.upstream());
        mAttempts++;
        mResumes = 0;
        mChunksTaken = 0;
        mActions.add(new RequestAction.StartAttempt(granted.attempt(), granted.upstream()));
    }

    private void onReadyToSend(long nowMillis) {
        if (mState != RequestState.GRANTED) {
            mDroppedEvents++;
        } else if (nowMillis >= mPlan.deadlineMillis()) {
            fail(deadlineKind(), Optional.empty());
        } else {
            mState = RequestState.SENT;
            mActions.add(new RequestAction.Send(currentAttempt(), currentUpstream()));
        }
    }

    private void onHead() {
        if (mState == RequestState.SENT) {
            mState = RequestState.ANSWERING;
        } else if (mResumes == 0) {
            // A resumed stream may start with a head again; such a head is ignored, not counted.
            mDroppedEvents++;
        }
    }

    private void onChunk(int index, long nowMillis) {
        if (mState != RequestState.ANSWERING || index < mChunksTaken) {
            mDroppedEvents++;
        } else if (index > mChunksTaken) {
            // Chunks are missing. They cannot be fetched again without splicing two answers.
            mActions.add(new RequestAction.CancelAttempt(currentAttempt(), currentUpstream()));
            onAttemptFailed(AttemptEnd.MALFORMED, nowMillis);
        } else {
            acceptChunk(index);
        }
    }

    private void acceptChunk(int index) {
        mChunksTaken++;
        if (!mPlan.streamed()) {
            mActions.add(new RequestAction.HoldChunk(currentAttempt(), index));
        } else if (!mCallerGone) {
            relayHead();
            mActions.add(new RequestAction.RelayChunk(currentAttempt(), index));
        }
    }

    private void relayHead() {
        if (!mHeadRelayed) {
            mHeadRelayed = true;
            mActions.add(new RequestAction.RelayHead(currentAttempt()));
        }
    }

    private void onEnd(long nowMillis) {
        if (mState == RequestState.SENT) {
            onAttemptFailed(AttemptEnd.MALFORMED, nowMillis);
        } else if (mState != RequestState.ANSWERING) {
            mDroppedEvents++;
        } else {
            complete();
        }
    }

    private void complete() {
        if (!mCallerGone) {
            // The outcome comes before the answer, so that a caller that repeats the request after
            // the answer finds it.
            recordOutcome(ClaimOutcome.DONE);
            relayHead();
            mActions.add(new RequestAction.AnswerComplete(currentAttempt()));
        }
        mActions.add(new RequestAction.ReleaseSlot(AttemptOutcome.WHOLE));
        // Has an effect only if the caller is gone; otherwise the outcome was recorded above.
        recordOutcome(ClaimOutcome.DONE);
        mState = RequestState.WHOLE;
    }

    private void onAttemptFailed(AttemptEnd end, long nowMillis) {
        if (mayResume(end, nowMillis)) {
            mResumes++;
            mActions.add(
                    new RequestAction.ResumeAttempt(
                            currentAttempt(), currentUpstream(), mChunksTaken));
            return;
        }
        boolean notRun = mState == RequestState.GRANTED || end.provesNotRun();
        boolean notSent = mState == RequestState.GRANTED || end == AttemptEnd.NOT_SENT;
        if (!notRun) {
            mRuns.recordFailure(end);
        }
        if (mayRetry(notSent, nowMillis)) {
            mActions.add(new RequestAction.ReleaseSlot(end.outcome()));
            mAttempt = Optional.empty();
            enqueue(Set.of(currentUpstream()));
        } else {
            failAttempt(notRun ? ErrorKind.UPSTREAM_REFUSED : end.errorKind(), end.outcome());
        }
    }

    private boolean mayResume(AttemptEnd end, long nowMillis) {
        return mState == RequestState.ANSWERING
                && mPlan.resumable()
                && end.resumable()
                && mChunksTaken > 0
                && mResumes < MAX_RESUMES
                && nowMillis < mPlan.deadlineMillis()
                && mAllowance.tryAcquire(nowMillis);
    }

    private boolean mayRetry(boolean notSent, long nowMillis) {
        return (mPlan.idempotent() || notSent)
                && !mHeadRelayed
                && !mCallerGone
                && mAttempts < MAX_ATTEMPTS
                && nowMillis < mPlan.deadlineMillis()
                && mAllowance.tryAcquire(nowMillis);
    }

    private void onRefused(RequestEvent.Refused refused) {
        if (mState.holdsSlot()) {
            mDroppedEvents++;
        } else {
            fail(refused.kind(), Optional.of(refused.retryAfterMillis()));
        }
    }

    private void onCallerGone() {
        mCallerGone = true;
        boolean sent = mState == RequestState.SENT || mState == RequestState.ANSWERING;
        if (sent && !mPlan.idempotent()) {
            // The request continues, so that a caller that retries finds its outcome.
            return;
        }
        fail(ErrorKind.CALLER_GONE, Optional.empty());
    }

    private void onStopping() {
        if (!mState.holdsSlot()) {
            fail(ErrorKind.NOT_READY, Optional.empty());
        }
    }

    private ErrorKind deadlineKind() {
        boolean sent = mState == RequestState.SENT || mState == RequestState.ANSWERING;
        return sent || mRuns.mayHaveRun()
                ? ErrorKind.DEADLINE_AFTER_START
                : ErrorKind.DEADLINE_BEFORE_START;
    }

    /** Ends the request now and cancels an attempt in flight. */
    private void fail(ErrorKind kind, Optional<Long> retryAfterMillis) {
        if (mState == RequestState.QUEUED) {
            mActions.add(new RequestAction.Withdraw());
        }
        if (mState == RequestState.SENT || mState == RequestState.ANSWERING) {
            mRuns.recordAbandoned();
            mActions.add(new RequestAction.CancelAttempt(currentAttempt(), currentUpstream()));
        }
        if (mState.holdsSlot()) {
            mActions.add(new RequestAction.ReleaseSlot(AttemptOutcome.CANCELLED));
        }
        finish(kind, retryAfterMillis);
    }

    private void failAttempt(ErrorKind kind, AttemptOutcome end) {
        mActions.add(new RequestAction.ReleaseSlot(end));
        finish(kind, Optional.empty());
    }

    private void finish(ErrorKind kind, Optional<Long> retryAfterMillis) {
        ErrorKind reported = mRuns.reportableKind(mClaim.reportableKind(kind));
        mState = RequestState.FAILED;
        if (!mCallerGone) {
            Optional<Long> retryAfter =
                    reported.retryAfterMillis()
                            .map(minMillis -> Math.max(minMillis, retryAfterMillis.orElse(0L)));
            mActions.add(new RequestAction.AnswerError(reported, retryAfter, mHeadRelayed));
        }
        recordOutcome(mRuns.claimOutcome());
    }

    private void recordOutcome(ClaimOutcome outcome) {
        mClaim.recordOutcome(outcome).ifPresent(mActions::add);
    }

    private AttemptId currentAttempt() {
        return mAttempt.orElseThrow();
    }

    private UpstreamId currentUpstream() {
        return mUpstream.orElseThrow();
    }
}
