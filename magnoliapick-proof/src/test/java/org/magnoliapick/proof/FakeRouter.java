package org.magnoliapick.proof;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.magnoliapick.claim.ClaimAction;
import org.magnoliapick.claim.ClaimBatcher;
import org.magnoliapick.claim.ClaimCodec;
import org.magnoliapick.claim.ClaimEntry;
import org.magnoliapick.claim.ClaimLedger;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.request.RequestAction;
import org.magnoliapick.request.RequestEvent;
import org.magnoliapick.request.RequestState;

/** A router process that carries out actions by hand: it sends, appends, reads and relays. */
final class FakeRouter {
    private static final long WINDOW_MILLIS = 3_600_000;
    private static final long MAX_RUN_MILLIS = 600_000;
    private static final long LINGER_MILLIS = 25;
    private static final long CLAIM_WAIT_MILLIS = 4_000;
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private record Pending(FakeCall call, RequestEvent event, String upstream) {}

    private final InstanceId mId;
    private final RouterWorld mWorld;
    private final List<FakeCall> mCalls = new ArrayList<>();
    private final Deque<Pending> mPending = new ArrayDeque<>();
    private final Deque<ClaimAction.Append> mAppends = new ArrayDeque<>();
    private final Set<AttemptId> mKeptAnswers = new HashSet<>();
    private ClaimBatcher mBatcher = newBatcher();
    private boolean mCutOff;

    FakeRouter(String name, RouterWorld world) {
        mId = new InstanceId(name);
        mWorld = world;
    }

    private static ClaimBatcher newBatcher() {
        return new ClaimBatcher(new ClaimLedger(WINDOW_MILLIS, MAX_RUN_MILLIS), LINGER_MILLIS);
    }

    FakeCall call(FakeCall.Kind kind, String key, long deadlineMillis) {
        FakeCall call = new FakeCall(kind, key, mWorld.newName("call"), deadlineMillis);
        mCalls.add(call);
        mPending.add(new Pending(call, new RequestEvent.Admitted(), ""));
        return call;
    }

    List<FakeCall> calls() {
        return mCalls;
    }

    /** Does all that is due, in the order in which a process would. */
    void turn() {
        deliverAll();
        appendAll();
        readLog();
        take(mBatcher.tick(mWorld.mNowMillis));
        deliverAll();
        runTimers();
    }

    void runTimers() {
        for (FakeCall call : List.copyOf(mCalls)) {
            if (call.takeDeadline(mWorld.mNowMillis)) {
                deliver(new Pending(call, new RequestEvent.DeadlinePassed(), ""));
            }
        }
    }

    void deliverAll() {
        while (deliverOne()) {}
    }

    boolean deliverOne() {
        Pending next = mPending.poll();
        if (next == null) {
            return false;
        }
        deliver(next);
        if (mWorld.mRepeats) {
            deliver(next);
        }
        return true;
    }

    private void deliver(Pending pending) {
        FakeCall call = pending.call();
        if (call.mRouterDied) {
            return;
        }
        if (pending.event() instanceof RequestEvent.SlotGranted
                && !call.mMachine.state().holdsSlot()) {
            call.mSlotsHeld++;
        }
        for (RequestAction action : call.mMachine.handle(pending.event(), mWorld.mNowMillis)) {
            carryOut(call, action);
        }
    }

    private void carryOut(FakeCall call, RequestAction action) {
        if (action instanceof RequestAction.AppendClaim) {
            ClaimEntry.Claim claim =
                    new ClaimEntry.Claim(call.claimKey(), call.mClaim, mId, "digest");
            long giveUpAtMillis = mWorld.mNowMillis + CLAIM_WAIT_MILLIS;
            take(mBatcher.add(claim, giveUpAtMillis, mWorld.mNowMillis));
        } else if (action instanceof RequestAction.RecordClaimOutcome ended) {
            ClaimEntry.Ended entry =
                    new ClaimEntry.Ended(call.claimKey(), call.mClaim, ended.outcome());
            if (ended.outcome() == ClaimOutcome.DONE) {
                mKeptAnswers.add(call.mClaim);
            }
            take(mBatcher.addOutcome(entry, mWorld.mNowMillis));
        } else if (action instanceof RequestAction.FetchKeptAnswer fetch) {
            boolean found = mWorld.mRouters.stream().anyMatch(each -> each.keeps(fetch));
            expect(
                    call,
                    found
                            ? new RequestEvent.KeptAnswerFound()
                            : new RequestEvent.KeptAnswerMissing());
        } else if (action instanceof RequestAction.Submit submit) {
            submit(call, submit);
        } else if (action instanceof RequestAction.StartAttempt start) {
            expect(call, new RequestEvent.ReadyToSend(start.attempt()));
        } else if (action instanceof RequestAction.Send send) {
            send(call, send);
        } else if (action instanceof RequestAction.ResumeAttempt resume) {
            resume(call, resume);
        } else if (action instanceof RequestAction.ReleaseSlot) {
            call.mSlotsHeld--;
        } else {
            answer(call, action);
        }
    }

    private void answer(FakeCall call, RequestAction action) {
        if (action instanceof RequestAction.RelayChunk chunk) {
            call.relay(chunk.attempt(), chunk.index());
        } else if (action instanceof RequestAction.HoldChunk chunk) {
            call.relay(chunk.attempt(), chunk.index());
        } else if (action instanceof RequestAction.AnswerComplete
                || action instanceof RequestAction.AnswerKept
                || action instanceof RequestAction.AnswerError) {
            call.mAnswers.add(action);
        }
    }

    private boolean keeps(RequestAction.FetchKeptAnswer fetch) {
        return !mCutOff && mId.equals(fetch.holder()) && mKeptAnswers.contains(fetch.claim());
    }

    private void expect(FakeCall call, RequestEvent event) {
        mPending.add(new Pending(call, event, ""));
    }

    private void expectFrom(UpstreamId upstream, FakeCall call, RequestEvent event) {
        mPending.add(new Pending(call, event, upstream.value()));
    }

    private void submit(FakeCall call, RequestAction.Submit submit) {
        if (mWorld.mFlooded) {
            expect(
                    call,
                    new RequestEvent.Refused(ErrorKind.WORKSPACE_QUEUE_FULL, RETRY_AFTER_MILLIS));
            return;
        }
        UpstreamId first = new UpstreamId("a");
        UpstreamId upstream = submit.excluded().contains(first) ? new UpstreamId("b") : first;
        AttemptId attempt = new AttemptId(mWorld.newName("attempt"));
        expect(call, new RequestEvent.SlotGranted(upstream, attempt));
    }

    private void send(FakeCall call, RequestAction.Send send) {
        AttemptId attempt = send.attempt();
        UpstreamId upstream = send.upstream();
        call.mSentTo.add(upstream.value());
        RouterWorld.UpstreamMode mode =
                mCutOff ? RouterWorld.UpstreamMode.DEAD : mWorld.mUpstreams.get(upstream.value());
        if (mode == RouterWorld.UpstreamMode.DEAD) {
            fail(call, upstream, attempt, AttemptEnd.NOT_SENT);
        } else if (mode == RouterWorld.UpstreamMode.LEAVING) {
            fail(call, upstream, attempt, AttemptEnd.REFUSED);
        } else {
            call.mRuns++;
            mWorld.mRunsByKey.merge(call.mKey, 1, Integer::sum);
            if (mode == RouterWorld.UpstreamMode.ANSWER_LOST) {
                fail(call, upstream, attempt, AttemptEnd.LOST_BEFORE_HEAD);
            } else {
                expectFrom(upstream, call, new RequestEvent.HeadReceived(attempt));
                expectRest(call, upstream, attempt, 0);
            }
        }
    }

    private void resume(FakeCall call, RequestAction.ResumeAttempt resume) {
        boolean up =
                !mCutOff
                        && mWorld.mUpstreams.get(resume.upstream().value())
                                == RouterWorld.UpstreamMode.UP;
        if (up) {
            expectRest(call, resume.upstream(), resume.attempt(), resume.fromChunk());
        } else {
            fail(call, resume.upstream(), resume.attempt(), AttemptEnd.CUT);
        }
    }

    private void expectRest(FakeCall call, UpstreamId upstream, AttemptId attempt, int from) {
        for (int index = from; index < FakeCall.CHUNKS; index++) {
            expectFrom(upstream, call, new RequestEvent.ChunkReceived(attempt, index));
        }
        expectFrom(upstream, call, new RequestEvent.EndReceived(attempt));
    }

    private void fail(FakeCall call, UpstreamId upstream, AttemptId attempt, AttemptEnd end) {
        expectFrom(upstream, call, new RequestEvent.AttemptFailed(attempt, end));
    }

    private void take(List<ClaimAction> actions) {
        for (ClaimAction action : actions) {
            if (action instanceof ClaimAction.Append append) {
                mAppends.add(append);
            } else if (action instanceof ClaimAction.ReportVerdict decide) {
                callOf(decide.claim(), new RequestEvent.ClaimDecided(decide.verdict()));
            } else if (action instanceof ClaimAction.Refuse refuse) {
                callOf(refuse.claim(), new RequestEvent.Refused(ErrorKind.LOG_UNAVAILABLE, 0));
            }
        }
    }

    private void callOf(AttemptId claim, RequestEvent event) {
        for (FakeCall call : mCalls) {
            if (call.mClaim.equals(claim)) {
                expect(call, event);
            }
        }
    }

    void appendAll() {
        ClaimAction.Append append = mAppends.poll();
        while (append != null) {
            appendOne(append);
            append = mAppends.poll();
        }
    }

    private void appendOne(ClaimAction.Append append) {
        long now = mWorld.mNowMillis;
        FakeLog.Answer answer =
                mCutOff
                        ? FakeLog.Answer.UNKNOWN
                        : mWorld.mLog.append(ClaimCodec.encode(append.batch()), now);
        if (answer == FakeLog.Answer.APPENDED) {
            take(mBatcher.appendSucceeded(append.number(), now));
        } else if (answer == FakeLog.Answer.REFUSED) {
            take(mBatcher.appendRefused(append.number(), now));
        } else {
            take(mBatcher.appendUnknown(append.number(), now));
        }
    }

    void readLog() {
        if (mCutOff) {
            return;
        }
        for (FakeLog.Entry entry : mWorld.mLog.read(mBatcher.nextOffset())) {
            take(
                    mBatcher.handleRecord(
                            entry.offset(), entry.atMillis(), entry.payload(), mWorld.mNowMillis));
        }
    }

    boolean hasAppendsWaiting() {
        return !mAppends.isEmpty();
    }

    void cutOff() {
        mCutOff = true;
        loseAnswers("a");
        loseAnswers("b");
    }

    void joinAgain() {
        mCutOff = false;
    }

    void restart() {
        mCalls.forEach(call -> call.mRouterDied = true);
        mPending.clear();
        mAppends.clear();
        mKeptAnswers.clear();
        mBatcher = newBatcher();
    }

    /** Loses what an upstream has sent and not been read, and breaks its connections. */
    void loseAnswers(String upstream) {
        mPending.removeIf(each -> each.upstream().equals(upstream));
        for (FakeCall call : mCalls) {
            RequestState state = call.mMachine.state();
            boolean atUpstream =
                    !call.mSentTo.isEmpty()
                            && call.mSentTo.get(call.mSentTo.size() - 1).equals(upstream);
            if (atUpstream && (state == RequestState.SENT || state == RequestState.ANSWERING)) {
                AttemptEnd end =
                        state == RequestState.SENT ? AttemptEnd.LOST_BEFORE_HEAD : AttemptEnd.CUT;
                fail(call, new UpstreamId(upstream), call.mMachine.attempt().orElseThrow(), end);
            }
        }
    }

    /** Puts the answer of an attempt that never was before all that waits. */
    void crossAnswers() {
        AttemptId old = new AttemptId("attempt-of-another-time");
        for (FakeCall call : mCalls) {
            mPending.addFirst(
                    new Pending(call, new RequestEvent.AttemptFailed(old, AttemptEnd.REFUSED), ""));
            mPending.addFirst(new Pending(call, new RequestEvent.EndReceived(old), ""));
            mPending.addFirst(new Pending(call, new RequestEvent.ChunkReceived(old, 0), ""));
            mPending.addFirst(new Pending(call, new RequestEvent.HeadReceived(old), ""));
        }
    }
}
