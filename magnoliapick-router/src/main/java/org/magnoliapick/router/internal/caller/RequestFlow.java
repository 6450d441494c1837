package org.magnoliapick.router.internal.caller;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.claim.ClaimVerdict;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.record.Cause;
import org.magnoliapick.record.RequestEnd;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.request.RequestAction;
import org.magnoliapick.request.RequestEvent;
import org.magnoliapick.request.RequestMachine;
import org.magnoliapick.request.RequestPlan;

/**
 * One request in progress: feeds what happens to its {@link RequestMachine} and carries out what
 * the machine decides. Events come from many threads, one at a time passes; nothing done here
 * blocks.
 */
public final class RequestFlow implements AttemptListener {
    private static final double PROGRESS_STEP_UNITS = 16;

    private final CallerRequest mRequest;
    private final CallerAnswer mAnswer;
    private final FlowServices mServices;
    private final long mConfigOffset;
    private final Consumer<RequestId> mOnEnd;
    private final RequestMachine mMachine;
    private final FlowUsage mUsage;
    private final ByteArrayOutputStream mHeld = new ByteArrayOutputStream();
    private Optional<AnswerHead> mHead = Optional.empty();
    private byte[] mArrived = new byte[0];
    private Optional<KeptAnswer> mKept = Optional.empty();
    private Optional<ScheduledFuture<?>> mDeadline = Optional.empty();
    private Optional<UpstreamId> mUpstream = Optional.empty();
    private Cause mEndCause = Cause.CALLER_GONE;
    private double mReportedUnits;
    private int mAttempts;

    RequestFlow(
            CallerRequest request,
            CallerAnswer answer,
            FlowServices services,
            long configOffset,
            Consumer<RequestId> onEnd) {
        mRequest = request;
        mAnswer = answer;
        mServices = services;
        mConfigOffset = configOffset;
        mOnEnd = onEnd;
        mUsage = new FlowUsage(request.kind());
        mMachine = new RequestMachine(planOf(request), services.retryAllowance());
    }

    private static RequestPlan planOf(CallerRequest request) {
        boolean claims = !request.idempotent() && request.idempotencyKey().isPresent();
        Optional<AttemptId> claim =
                claims ? Optional.of(new AttemptId(request.id() + "-c")) : Optional.empty();
        boolean streamed = request.content().streamed();
        return new RequestPlan(
                request.idempotent(), streamed, streamed, claim, request.deadlineMillis());
    }

    /** Returns the request. */
    public CallerRequest request() {
        return mRequest;
    }

    synchronized void begin() {
        long delayMillis = Math.max(0, mRequest.deadlineMillis() - nowMillis());
        mDeadline =
                Optional.of(
                        mServices.after(delayMillis, () -> on(new RequestEvent.DeadlinePassed())));
        on(new RequestEvent.Admitted());
    }

    /** Ends the request if it still waits and this instance is stopping. */
    public void stopping() {
        on(new RequestEvent.Stopping());
    }

    /** Notes that the caller closed its connection. */
    void callerGone() {
        on(new RequestEvent.CallerGone());
    }

    void granted(UpstreamId upstream) {
        on(new RequestEvent.SlotGranted(upstream, nextAttempt()));
    }

    void refused(ErrorKind kind, long retryAfterMillis) {
        on(new RequestEvent.Refused(kind, retryAfterMillis));
    }

    private void claimDecided(ClaimVerdict verdict) {
        on(new RequestEvent.ClaimDecided(verdict));
    }

    private synchronized void keptAnswer(Optional<KeptAnswer> kept) {
        mKept = kept;
        on(
                kept.isPresent()
                        ? new RequestEvent.KeptAnswerFound()
                        : new RequestEvent.KeptAnswerMissing());
    }

    private synchronized AttemptId nextAttempt() {
        mAttempts++;
        return new AttemptId(mRequest.id() + "-a" + mAttempts);
    }

    @Override
    public synchronized boolean sendBegins(AttemptId attempt) {
        List<RequestAction> actions =
                mMachine.handle(new RequestEvent.ReadyToSend(attempt), nowMillis());
        boolean go = actions.stream().anyMatch(action -> action instanceof RequestAction.Send);
        if (go) {
            mUsage.begin(nowMillis());
        }
        perform(actions);
        return go;
    }

    @Override
    public synchronized boolean head(AttemptId attempt, AnswerHead head) {
        if (isCurrent(attempt)) {
            mHead = Optional.of(head);
        }
        on(new RequestEvent.HeadReceived(attempt));
        return isCurrent(attempt);
    }

    @Override
    public synchronized boolean chunk(AttemptId attempt, int index, byte[] data, int tokens) {
        if (isCurrent(attempt)) {
            mArrived = data;
            mUsage.tokens(tokens, nowMillis());
            reportProgress();
        }
        on(new RequestEvent.ChunkReceived(attempt, index));
        return isCurrent(attempt);
    }

    /** Tells the shares of progress in steps, so that a token does not cost an event each. */
    private void reportProgress() {
        double units = mUsage.units(nowMillis());
        if (units - mReportedUnits >= PROGRESS_STEP_UNITS) {
            mReportedUnits = units;
            mServices.progress(mRequest.id(), units);
        }
    }

    @Override
    public synchronized void end(AttemptId attempt, long promptTokens, long outputTokens) {
        if (isCurrent(attempt)) {
            mUsage.counted(promptTokens, outputTokens);
        }
        on(new RequestEvent.EndReceived(attempt));
    }

    @Override
    public void failed(AttemptId attempt, AttemptEnd end) {
        on(new RequestEvent.AttemptFailed(attempt, end));
    }

    private boolean isCurrent(AttemptId attempt) {
        return mMachine.attempt().filter(attempt::equals).isPresent()
                && !mMachine.state().isFinal();
    }

    private synchronized void on(RequestEvent event) {
        boolean ended = mMachine.state().isFinal();
        perform(mMachine.handle(event, nowMillis()));
        if (!ended && mMachine.state().isFinal()) {
            mDeadline.ifPresent(deadline -> deadline.cancel(false));
            mServices.ended(endRecord());
            mOnEnd.accept(mRequest.id());
        }
    }

    private RequestEnd endRecord() {
        long nowMillis = nowMillis();
        long arrivedMillis = mRequest.arrivedMillis();
        return new RequestEnd(
                nowMillis,
                mRequest.id(),
                mRequest.workspace(),
                mRequest.requestClass(),
                mEndCause,
                mUpstream,
                nowMillis - arrivedMillis,
                mUsage.firstTokenMillis().map(millis -> millis - arrivedMillis),
                mUsage.longestGapMillis(),
                mUsage.endedUnits());
    }

    private void perform(List<RequestAction> actions) {
        actions.forEach(this::perform);
    }

    private void perform(RequestAction action) {
        if (!performAttempt(action) && !performAnswer(action)) {
            performClaim(action);
        }
    }

    private boolean performAttempt(RequestAction action) {
        if (action instanceof RequestAction.Submit submit) {
            mServices.submit(mRequest.toQueued(submit.excluded()));
        } else if (action instanceof RequestAction.Withdraw) {
            mServices.withdraw(mRequest.id());
        } else if (action instanceof RequestAction.StartAttempt start) {
            forgetAnswer();
            mUpstream = Optional.of(start.upstream());
            mServices.attempts().start(mRequest, start.attempt(), start.upstream(), this);
        } else if (action instanceof RequestAction.ResumeAttempt resume) {
            mServices.attempts().resume(mRequest, resume, this);
        } else if (action instanceof RequestAction.CancelAttempt cancel) {
            mServices.attempts().cancel(mRequest, cancel.attempt(), cancel.upstream());
        } else if (action instanceof RequestAction.ReleaseSlot release) {
            mServices.finish(mRequest.id(), release.end(), mUsage.units(nowMillis()));
            mUsage.ended(nowMillis());
            mReportedUnits = 0;
        } else {
            return action instanceof RequestAction.Send;
        }
        return true;
    }

    private boolean performAnswer(RequestAction action) {
        if (action instanceof RequestAction.RelayHead relay) {
            relayHead(relay.attempt());
        } else if (action instanceof RequestAction.RelayChunk) {
            mAnswer.part(mArrived);
        } else if (action instanceof RequestAction.HoldChunk) {
            mHeld.writeBytes(mArrived);
        } else if (action instanceof RequestAction.AnswerComplete whole) {
            mEndCause = Cause.COMPLETED;
            answerWhole(whole.attempt());
        } else if (action instanceof RequestAction.AnswerKept) {
            mEndCause = Cause.COMPLETED;
            KeptAnswer kept = mKept.orElseThrow();
            mAnswer.whole(kept.status(), kept.headers(), kept.body(), headers(Optional.empty()));
        } else if (action instanceof RequestAction.AnswerError error) {
            mEndCause = Cause.of(error.kind());
            mAnswer.problem(error.kind(), error.retryAfterMillis(), headers(mMachine.attempt()));
        } else {
            return false;
        }
        return true;
    }

    private void performClaim(RequestAction action) {
        if (action instanceof RequestAction.AppendClaim append) {
            mServices.claims().claim(mRequest, append.claim(), this::claimDecided, this::refused);
        } else if (action instanceof RequestAction.RecordClaimOutcome record) {
            keepAnswerOf(record);
            mServices.claims().recordOutcome(mRequest, record.claim(), record.outcome());
        } else if (action instanceof RequestAction.FetchKeptAnswer fetch) {
            mServices.claims().fetchKept(fetch.holder(), fetch.claim(), this::keptAnswer);
        } else {
            throw new IllegalStateException("Nothing carries out " + action);
        }
    }

    private void keepAnswerOf(RequestAction.RecordClaimOutcome record) {
        if (record.outcome() == ClaimOutcome.DONE) {
            AnswerHead head = mHead.orElseThrow();
            KeptAnswer kept = new KeptAnswer(head.status(), head.headers(), mHeld.toByteArray());
            mServices.claims().keep(record.claim(), kept);
        }
    }

    private void forgetAnswer() {
        mHead = Optional.empty();
        mHeld.reset();
    }

    private void relayHead(AttemptId attempt) {
        if (mRequest.content().streamed()) {
            AnswerHead head = mHead.orElseThrow();
            mAnswer.startStream(
                    head.status(),
                    head.contentType(),
                    headers(Optional.of(attempt)),
                    this::callerGone);
        }
    }

    private void answerWhole(AttemptId attempt) {
        if (mRequest.content().streamed()) {
            mAnswer.endStream();
            return;
        }
        AnswerHead head = mHead.orElseThrow();
        Map<String, List<String>> passedOn = head.headers();
        mAnswer.whole(head.status(), passedOn, mHeld.toByteArray(), headers(Optional.of(attempt)));
    }

    private AnswerHeaders headers(Optional<AttemptId> attempt) {
        return new AnswerHeaders(mRequest.id(), attempt, mConfigOffset);
    }

    private long nowMillis() {
        return mServices.clock().millis();
    }
}
