package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.ResponseHead;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.pool.Ticket;
import org.magnoliapick.quarantine.Quarantine;
import org.magnoliapick.relay.RelayAttempts;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.RelayStep;
import org.magnoliapick.request.AttemptEnd;

/**
 * Relays one request of a caller: obtains an upstream from the pool, runs the attempts and passes
 * the response back.
 */
public final class Relay {
    private final RelayContext mContext;
    private final Pools mPools;
    private final Relays mRelays;
    private final HttpRequest mRequestHead;
    private final ByteBuf mRequestBody;
    private final CallerResponse mResponse;
    private final RelayConnections mConnections;
    private final RelayedStream mStream = new RelayedStream();
    private final RelayGuard mGuard;
    private final RelayLog mLog;
    private final Failover mFailover;
    private final RelayFailures mFailures;
    private RelayRequest mRequest;
    private RelayAttempts mAttempts;
    private int mRank;
    private ScheduledFuture<?> mTimer;
    private PoolJob mJob;
    private Ticket mTicket;
    private UpstreamCall mCall;

    /** The upstream of the last attempt, if it was unreachable or did not take the request. */
    private Set<UpstreamId> mLostUpstream = Set.of();

    private long mFirstResponseMillis = -1;

    /** Whether the current attempt received a complete event. */
    private boolean mEventReceived;

    private boolean mClosed;

    Relay(
            RelayContext context,
            Pools pools,
            Relays relays,
            HttpRequest requestHead,
            ByteBuf requestBody,
            CallerResponse response) {
        mContext = context;
        mPools = pools;
        mRelays = relays;
        mRequestHead = requestHead;
        mRequestBody = requestBody;
        mResponse = response;
        mGuard = new RelayGuard(this, context.log(), requestHead.uri());
        mLog = new RelayLog(context);
        mConnections = new RelayConnections(pools, mGuard);
        mFailover = new Failover(this, mLog, relays, pools);
        mFailures = new RelayFailures(context, mLog, response, this::close);
    }

    /** Returns the guard in which all steps of this request run. */
    RelayGuard guard() {
        return mGuard;
    }

    /** Ends the request after a fault in the handlers of its connection, which was logged. */
    public void connectionFailed() {
        mGuard.run(this::endWithFault);
    }

    /** Ends the request after a fault of the gateway itself, which was logged. */
    void endWithFault() {
        boolean mayHaveRun =
                mAttempts != null
                        && (mAttempts.sends() > 0 || (mCall != null && mCall.mayHaveSent()));
        ErrorKind kind = mayHaveRun ? ErrorKind.INTERNAL_AFTER_START : ErrorKind.INTERNAL;
        try {
            cancelAfterFault(kind);
        } finally {
            // A request is closed before it is answered, so the fault may have been in between.
            mResponse.fail(kind);
        }
    }

    private void cancelAfterFault(ErrorKind kind) {
        if (mClosed) {
            return;
        }
        try {
            cancelOrWithdraw();
        } finally {
            if (!mClosed) {
                mFailures.finish(kind);
            }
        }
    }

    /** Rejects the request before it is submitted to a pool. */
    void reject(ErrorKind kind, OptionalLong retryAfterMillis) {
        mFailures.reject(mRequestHead.uri(), kind, retryAfterMillis);
    }

    /** Starts the timeout and submits the request to its pool. */
    void admit(RelayRequest request, int rank) {
        mRequest = request;
        mLog.setRequest(request);
        mRank = rank;
        mAttempts = new RelayAttempts(request);
        mFailures.setRequest(request, mAttempts);
        long remainingMillis = request.effectiveDeadlineMillis() - mContext.nowMillis();
        mTimer =
                mContext.loop()
                        .schedule(
                                () -> mGuard.run(() -> endUnanswered("deadline")),
                                Math.max(0, remainingMillis),
                                TimeUnit.MILLISECONDS);
        submitToPool(mContext.nowMillis());
    }

    /**
     * Submits the request to its pool.
     *
     * @param sinceMillis since when it has needed an upstream
     */
    private void submitToPool(long sinceMillis) {
        long nowMillis = mContext.nowMillis();
        if (isTooLateToSend(nowMillis)) {
            mFailures.refuseForStop();
            return;
        }
        Optional<Quarantine> quarantine = findQuarantine(nowMillis);
        if (quarantine.isPresent()) {
            mFailures.refuse(quarantine.get(), nowMillis);
            return;
        }
        mJob = newJob(mLostUpstream, sinceMillis);
        mTicket = null;
        mCall = null;
        mRelays.addPending(mJob, this);
        mPools.submit(mJob, nowMillis);
    }

    private PoolJob newJob(Set<UpstreamId> unreachable, long sinceMillis) {
        return PoolJob.of(
                mRequest,
                mContext.domain(),
                mAttempts.tried(),
                unreachable,
                mAttempts.isHeadRelayed(),
                mRank,
                mRelays.nextQueryNumber(),
                sinceMillis);
    }

    private Optional<Quarantine> findQuarantine(long nowMillis) {
        return mContext.quarantine().find(mRequest.content(), nowMillis);
    }

    /** Returns whether a stop would end an attempt that begins now, with no repeat allowed. */
    private boolean isTooLateToSend(long nowMillis) {
        return !mRelays.maySend(mRequest.route(), nowMillis);
    }

    /** Ends the request if it is quarantined and its upstream has not begun to answer it. */
    void cancelIfQuarantined(long nowMillis) {
        if (mClosed || mCall == null || mEventReceived) {
            return;
        }
        findQuarantine(nowMillis)
                .ifPresent(
                        quarantine -> {
                            cancelOrWithdraw();
                            mFailures.refuse(quarantine, nowMillis);
                        });
    }

    /** Starts an attempt at the upstream that the pool chose. */
    void startAttempt(PoolAction.Start start) {
        if (mFailover.endsBy(start)) {
            mFailover.found(start, mContext.nowMillis());
            return;
        }
        mTicket = start.ticket();
        mEventReceived = false;
        mFailover.attemptStarted();
        long nowMillis = mContext.nowMillis();
        if (mRequest.isExpired(nowMillis)) {
            // The decision arrived after the request's deadline, as on a stalled machine.
            releaseTicket(Optional.of(AttemptEnd.CANCELLED));
            endUnanswered("deadline");
            return;
        }
        if (isTooLateToSend(nowMillis)) {
            releaseTicket(Optional.of(AttemptEnd.CANCELLED));
            mFailures.refuseForStop();
            return;
        }
        Optional<Quarantine> quarantine = findQuarantine(nowMillis);
        if (quarantine.isPresent()) {
            releaseTicket(Optional.of(AttemptEnd.CANCELLED));
            mFailures.refuse(quarantine.get(), nowMillis);
            return;
        }
        mLog.placed(start, nowMillis - mJob.submittedMillis(), mAttempts.sends());
        UpstreamCall call = new UpstreamCall(mContext, mRequest, this, mTicket.upstream());
        mCall = call;
        mConnections.acquire(mTicket.upstream(), nowMillis, call);
    }

    /** Returns whether the request may still be sent to the upstream that the pool chose. */
    boolean mayBeSent(ListedUpstream upstream) {
        return mPools.mayBeSent(upstream, mTicket.startedMillis(), mContext.nowMillis());
    }

    /** Has another upstream chosen, because the first no longer takes requests. */
    void placeAgain() {
        mLog.placedLine("request.not-sent").log();
        releaseTicket(Optional.of(AttemptEnd.CANCELLED));
        submitToPool(mJob.submittedMillis());
    }

    UpstreamStatements statements() {
        return mRelays.statements();
    }

    /** Returns the upstream of the attempt in flight if its stream has stalled. */
    Optional<ListedUpstream> stalledUpstream(long nowMillis) {
        return mCall != null && mCall.isStalled(nowMillis)
                ? Optional.of(mTicket.upstream())
                : Optional.empty();
    }

    /** Ends the attempt in flight and goes on at another upstream, or fails if that may not be. */
    void replaceAttempt(PoolAction.Start start) {
        mCall.replace();
        RelayStep step = endAttempt(AttemptEnd.TIMEOUT);
        if (countNextAttempt(step)) {
            mJob = start.job();
            startAttempt(start);
        } else {
            mFailover.release(start, mContext.nowMillis());
            mFailures.fail(step);
        }
    }

    /** Returns whether the request may be sent again if the attempt in flight is given up. */
    boolean mayRunAgain(long nowMillis) {
        return mAttempts.mayRunAgain(mContext.budget(), nowMillis)
                && findQuarantine(nowMillis).isEmpty();
    }

    /** Fails the request because the pool refused it. */
    void poolRefused(PoolAction.Refuse refuse) {
        if (mFailover.endsBy(refuse)) {
            mFailover.refused(refuse, mContext.nowMillis());
            return;
        }
        mFailures.refuse(refuse, mPools.waitingCount());
    }

    /** Cancels the request because the caller closed its connection. */
    public void callerDisconnected() {
        mGuard.run(this::cancelForCaller);
    }

    private void cancelForCaller() {
        if (mClosed) {
            return;
        }
        mLog.callerGone(mCall != null);
        cancelOrWithdraw();
        mFailures.finish(ErrorKind.CALLER_GONE);
    }

    /** Pauses or resumes reading from the upstream when the caller's writability changed. */
    public void callerWritabilityChanged() {
        if (mCall != null) {
            mGuard.run(() -> mCall.setAutoRead(mResponse.isWritable()));
        }
    }

    /** Ends the request because of its deadline or a stop, which the log line names. */
    void endUnanswered(String cause) {
        if (mClosed) {
            return;
        }
        boolean sent = mCall != null && mCall.mayHaveSent();
        ErrorKind kind =
                sent || mAttempts.mayHaveRun()
                        ? ErrorKind.DEADLINE_AFTER_START
                        : ErrorKind.INSTANCE_QUEUE_FULL;
        mLog.timedOut(cause, kind, mAttempts.isHeadRelayed());
        cancelOrWithdraw();
        mFailures.end(
                kind,
                sent ? OptionalLong.empty() : OptionalLong.of(mRequest.route().objectiveMillis()));
    }

    /** Cancels the attempt in flight, or withdraws the request from the pool if none is. */
    private void cancelOrWithdraw() {
        try {
            if (mCall != null) {
                mCall.cancel();
            }
        } finally {
            // The call may be missing if a fault came between the decision of the pool and it.
            if (mTicket != null) {
                releaseTicket(Optional.of(AttemptEnd.CANCELLED));
            } else if (mJob != null) {
                mRelays.withdraw(mJob);
            }
        }
    }

    /**
     * Looks for another upstream if the stream has stalled and may be sent again. Refuses a waiting
     * request that a stop leaves too little time.
     */
    void tick(long nowMillis) {
        boolean waiting = !mClosed && mJob != null && mTicket == null;
        if (waiting && isTooLateToSend(nowMillis)) {
            cancelOrWithdraw();
            mFailures.refuseForStop();
            return;
        }
        if (mCall == null || !mCall.isStalled(nowMillis)) {
            return;
        }
        mFailover.logStall(mEventReceived);
        if (mFailover.maySearch(nowMillis) && mayRunAgain(nowMillis)) {
            mFailover.search(newJob(Set.of(mTicket.upstream().id()), nowMillis), nowMillis);
        }
    }

    /** Returns the identifier of the request; empty until it was read. */
    String requestId() {
        return mRequest == null ? "" : mRequest.id();
    }

    HttpRequest requestHead() {
        return mRequestHead;
    }

    /** Returns a retained duplicate of the request body. */
    ByteBuf requestBody() {
        return mRequestBody.retainedDuplicate();
    }

    int requestBodyLength() {
        return mRequestBody.readableBytes();
    }

    RelayedStream stream() {
        return mStream;
    }

    RelayConnections connections() {
        return mConnections;
    }

    RelayAttempts attempts() {
        return mAttempts;
    }

    CallerResponse response() {
        return mResponse;
    }

    /** Logs a response that names another request than this one, or none. */
    void logCrossed(int status, ResponseHead head) {
        mLog.crossed(status, head);
    }

    /** Records that the response head or an event was received. */
    void responseProgressed() {
        mFailover.withdraw();
        if (mFirstResponseMillis < 0) {
            mFirstResponseMillis = mLog.elapsedMillis();
        }
        mPools.recordProgress(mJob, mTicket, mContext.nowMillis());
    }

    /** Records that a complete event was received. */
    void eventReceived() {
        if (!mEventReceived) {
            mEventReceived = true;
            recordAnswer();
        }
        responseProgressed();
    }

    private void recordAnswer() {
        mContext.quarantine().recordAnswer(mRequest.content(), mContext.nowMillis());
    }

    /** Ends the request after the complete response was relayed. */
    void responseCompleted() {
        releaseTicket(Optional.empty());
        recordAnswer();
        mLog.whole(mFirstResponseMillis);
        mContext.counters().countCompleted();
        close();
    }

    /** Ends the request after a failure reported by the upstream itself was relayed. */
    void upstreamFailureRelayed(int status) {
        if (mTicket != null) {
            releaseTicket(Optional.empty());
        }
        mLog.placedLine("request.upstream-failure").with("status", status).log();
        mContext.counters().countFailed(ErrorKind.UPSTREAM_FAILED);
        close();
    }

    /** Ends an attempt that got no complete response and returns the next step. */
    RelayStep endAttempt(AttemptEnd end) {
        long nowMillis = mContext.nowMillis();
        mLog.attemptEnded(end, mEventReceived);
        ListedUpstream upstream = mTicket.upstream();
        mLostUpstream = end.isUpstreamUnavailable() ? Set.of(upstream.id()) : Set.of();
        releaseTicket(Optional.of(end));
        if (end.isConnectionLost() && !mEventReceived) {
            mRelays.quarantineMonitor().lostUnanswered(mRequest, upstream);
            if (!mContext.quarantine().mayRetry(mRequest.content())) {
                mLog.retryWithheld();
                return mAttempts.lastStep(end);
            }
        }
        return mAttempts.nextStep(end, mContext.budget(), nowMillis);
    }

    /** Executes the step that follows an attempt. */
    void execute(RelayStep step) {
        if (countNextAttempt(step)) {
            submitToPool(mContext.nowMillis());
        } else {
            mFailures.fail(step);
        }
    }

    /** Counts and logs the attempt that a step asks for; returns false if it asks for none. */
    private boolean countNextAttempt(RelayStep step) {
        if (step instanceof RelayStep.Retry) {
            mContext.counters().countRetry();
            return true;
        }
        if (step instanceof RelayStep.Resume resume) {
            mLog.line("request.resumed").with("afterEvent", resume.afterEvent()).log();
            mContext.counters().countResume();
            return true;
        }
        return false;
    }

    private void close() {
        mClosed = true;
        mCall = null;
        mRelays.remove(this);
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        mRequestBody.release();
    }

    /**
     * Tells the pool that the attempt in flight ended, so that it no longer counts as load.
     *
     * @param end how the attempt ended; empty if a complete response was relayed, even one that
     *     reports a failure
     */
    private void releaseTicket(Optional<AttemptEnd> end) {
        mFailover.withdraw();
        Ticket ticket = mTicket;
        mTicket = null;
        mCall = null;
        mPools.attemptEnded(mJob, ticket, end, mContext.nowMillis());
    }
}
