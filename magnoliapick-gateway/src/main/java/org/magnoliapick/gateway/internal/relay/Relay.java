package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.internal.http.HttpConnection;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolCause;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.pool.Ticket;
import org.magnoliapick.relay.RelayAttempts;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.RelayStep;
import org.magnoliapick.request.AttemptEnd;

/** Carries one request from its caller to upstreams and the answer back. */
public final class Relay {
    private final RelayContext mContext;
    private final Pools mPools;
    private final Relays mRelays;
    private final HttpRequest mHead;
    private final ByteBuf mBody;
    private final CallerResponse mAnswer;
    private RelayRequest mRequest;
    private RelayAttempts mAttempts;
    private int mRank;
    private ScheduledFuture<?> mTimer;
    private PoolJob mJob;
    private Ticket mTicket;
    private UpstreamCall mCall;
    private Set<UpstreamId> mLost = Set.of();
    private Placement mPlacement;
    private long mFirstMillis = -1;
    private boolean mOver;

    Relay(
            RelayContext context,
            Pools pools,
            Relays relays,
            HttpRequest head,
            ByteBuf body,
            CallerResponse answer) {
        mContext = context;
        mPools = pools;
        mRelays = relays;
        mHead = head;
        mBody = body;
        mAnswer = answer;
    }

    /** Refuses the request before anything else was decided about it. */
    void refuse(ErrorKind kind, OptionalLong retryAfterMillis) {
        mContext.log()
                .line("request.rejected")
                .with("path", mHead.uri())
                .with("error", kind.wireName())
                .with("configVersion", mContext.config().map(each -> each.version()).orElse(-1L))
                .log();
        finish(kind);
        mAnswer.sendError(kind, retryAfterMillis);
    }

    void admit(RelayRequest request, int rank) {
        mRequest = request;
        mRank = rank;
        mAttempts = new RelayAttempts(request);
        long leftMillis = request.effectiveDeadlineMillis() - mContext.nowMillis();
        mTimer =
                mContext.loop()
                        .schedule(this::timedOut, Math.max(0, leftMillis), TimeUnit.MILLISECONDS);
        ask();
    }

    private void ask() {
        long nowMillis = mContext.nowMillis();
        mJob =
                PoolJob.of(
                        mRequest,
                        mContext.domain(),
                        mAttempts.tried(),
                        mLost,
                        mAttempts.isHeadRelayed(),
                        mRank,
                        mRelays.nextNumber(),
                        nowMillis);
        mTicket = null;
        mCall = null;
        mRelays.waiting(mJob, this);
        mPools.submit(mJob, nowMillis);
    }

    void start(PoolAction.Start start) {
        mTicket = start.ticket();
        long nowMillis = mContext.nowMillis();
        if (mRequest.isExpired(nowMillis)) {
            // The decision came when nobody waits any more, as on a machine that was held up.
            release(Optional.of(AttemptEnd.CANCELLED));
            timedOut();
            return;
        }
        mPlacement =
                new Placement(
                        start.cause(),
                        nowMillis - mJob.submittedMillis(),
                        mTicket.upstream().id(),
                        mTicket.newTokens(),
                        mTicket.aheadTokens());
        // Said at once: an instance that is killed says nothing at the end.
        placed(line(mAttempts.sends() == 0 ? "request.placed" : "request.placed-again"))
                .with("attempt", mAttempts.sends() + 1)
                .log();
        UpstreamCall call = new UpstreamCall(mContext, mRequest, this, mTicket.upstream());
        mCall = call;
        mPools.connections(mTicket.upstream())
                .acquire(nowMillis, call::connected, call::notConnected);
    }

    void refused(PoolAction.Refuse refuse) {
        ErrorKind kind = mAttempts.reportableKind(refuse.cause().errorKind());
        line("request.refused")
                .with("cause", refuse.cause().logName())
                .with("error", kind.wireName())
                .with("promptTokens", mJob.prompt().promptTokens())
                .with("waitedMillis", mContext.nowMillis() - mJob.submittedMillis())
                .with("retryAfterMillis", refuse.retryAfterMillis())
                .with("waiting", mPools.waitingCount())
                .log();
        endWith(kind, OptionalLong.of(refuse.retryAfterMillis()));
    }

    /** Ends the request with an error, or with a cut where its answer has begun. */
    private void endWith(ErrorKind kind, OptionalLong retryAfterMillis) {
        finish(kind);
        if (mAttempts.isHeadRelayed()) {
            mAnswer.abort();
        } else {
            mAnswer.sendError(kind, retryAfterMillis);
        }
    }

    /** Notes that the caller closed its connection. */
    public void callerDisconnected() {
        if (mOver) {
            return;
        }
        placed(line("request.caller-gone"))
                .with("sent", mCall != null)
                .with("tookMillis", tookMillis())
                .log();
        giveUp();
        finish(ErrorKind.CALLER_GONE);
    }

    /** Notes that the caller reads again after it lagged behind. */
    public void callerWritabilityChanged() {
        if (mCall != null) {
            mCall.reading(mAnswer.isWritable());
        }
    }

    private void timedOut() {
        if (mOver) {
            return;
        }
        boolean sent = mCall != null && mCall.mayHaveLeft();
        ErrorKind kind =
                sent || mAttempts.mayHaveRun()
                        ? ErrorKind.DEADLINE_AFTER_START
                        : ErrorKind.INSTANCE_QUEUE_FULL;
        placed(line("request.timed-out"))
                .with("error", kind.wireName())
                .with("answering", mAttempts.isHeadRelayed())
                .with("tookMillis", tookMillis())
                .log();
        giveUp();
        endWith(
                kind,
                sent ? OptionalLong.empty() : OptionalLong.of(mRequest.route().objectiveMillis()));
    }

    /** Ends the attempt under way without its answer, or the waiting for one. */
    private void giveUp() {
        if (mCall != null) {
            mCall.cancel();
            release(Optional.of(AttemptEnd.CANCELLED));
        } else if (mJob != null) {
            mRelays.withdrawn(mJob);
        }
    }

    void tick(long nowMillis) {
        if (mCall != null) {
            mCall.tick(nowMillis);
        }
    }

    HttpRequest head() {
        return mHead;
    }

    ByteBuf body() {
        return mBody.retainedDuplicate();
    }

    int bodyLength() {
        return mBody.readableBytes();
    }

    /** Gives a connection back after its answer. */
    void released(ListedUpstream upstream, HttpConnection connection) {
        mPools.connections(upstream).release(connection, mContext.nowMillis());
    }

    RelayAttempts attempts() {
        return mAttempts;
    }

    CallerResponse answer() {
        return mAnswer;
    }

    void answering() {
        if (mFirstMillis < 0) {
            mFirstMillis = tookMillis();
        }
        mPools.recordProgress(mJob, mTicket, mContext.nowMillis());
    }

    /** The attempt ended with the whole answer, which was passed on. */
    void whole() {
        release(Optional.empty());
        placed(line("request.whole"))
                .with("firstMillis", mFirstMillis)
                .with("tookMillis", tookMillis())
                .log();
        mContext.counters().whole();
        over();
    }

    /** The attempt ended with a failure of the upstream's own, which was passed on. */
    void relayedFailure(int status) {
        if (mTicket != null) {
            release(Optional.empty());
        }
        placed(line("request.upstream-failure")).with("status", status).log();
        mContext.counters().failed(ErrorKind.UPSTREAM_FAILED);
        over();
    }

    /** The attempt ended without a whole answer; returns what follows. */
    RelayStep attemptEnded(AttemptEnd end) {
        long nowMillis = mContext.nowMillis();
        placed(line("attempt.ended")).with("end", end).with("tookMillis", tookMillis()).log();
        mLost = end.loses() ? Set.of(mTicket.upstream().id()) : Set.of();
        release(Optional.of(end));
        return mAttempts.nextStep(end, mContext.budget(), nowMillis);
    }

    /** Carries out what follows an attempt. */
    void follow(RelayStep step) {
        if (step instanceof RelayStep.Retry) {
            mContext.counters().repeated();
            ask();
        } else if (step instanceof RelayStep.Resume resume) {
            line("request.resumed").with("afterEvent", resume.afterEvent()).log();
            mContext.counters().resumed();
            ask();
        } else if (step instanceof RelayStep.Fail fail) {
            failed(fail.kind());
            mAnswer.sendError(fail.kind(), retryAfter(fail.kind()));
        } else if (step instanceof RelayStep.Abort broken) {
            failed(broken.kind());
            mAnswer.abort();
        } else {
            throw new IllegalStateException("No rule for " + step);
        }
    }

    private OptionalLong retryAfter(ErrorKind kind) {
        return kind.retryAfterMillis().isPresent()
                ? OptionalLong.of(mRequest.route().objectiveMillis())
                : OptionalLong.empty();
    }

    private void failed(ErrorKind kind) {
        line("request.failed")
                .with("error", kind.wireName())
                .with("tookMillis", tookMillis())
                .log();
        finish(kind);
    }

    private void finish(ErrorKind kind) {
        mContext.counters().failed(kind);
        over();
    }

    private void over() {
        mOver = true;
        mCall = null;
        mBody.release();
        mRelays.ended(this);
        if (mTimer != null) {
            mTimer.cancel(false);
        }
    }

    private void release(Optional<AttemptEnd> end) {
        Ticket ticket = mTicket;
        mTicket = null;
        mCall = null;
        mPools.attemptEnded(mJob, ticket, end, mContext.nowMillis());
    }

    private long tookMillis() {
        return mContext.nowMillis() - mRequest.arrivedMillis();
    }

    private EventLog.Line line(String kind) {
        EventLog.Line line = mContext.log().line(kind).with("request", mRequest.id());
        mRequest.workspace().ifPresent(each -> line.with("workspace", each));
        return line.with("route", mRequest.route().name())
                .with("configVersion", mRequest.configVersion());
    }

    /** Adds why and where the request was placed last. */
    private EventLog.Line placed(EventLog.Line line) {
        if (mPlacement == null) {
            return line.with("placed", false);
        }
        return line.with("upstream", mPlacement.upstream())
                .with("cause", mPlacement.cause().logName())
                .with("waitedMillis", mPlacement.waitedMillis())
                .with("newTokens", mPlacement.newTokens())
                .with("aheadTokens", mPlacement.aheadTokens());
    }

    private record Placement(
            PoolCause cause,
            long waitedMillis,
            UpstreamId upstream,
            long newTokens,
            long aheadTokens) {}
}
