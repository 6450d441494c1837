package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.time.InstantSource;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.record.Cause;
import org.magnoliapick.record.DecisionRecord;
import org.magnoliapick.record.RequestEnd;
import org.magnoliapick.request.RetryAllowance;
import org.magnoliapick.router.internal.RouterThreads;
import org.magnoliapick.router.internal.admin.RouterMetrics;
import org.magnoliapick.router.internal.peer.PeerPart;
import org.magnoliapick.router.internal.share.ShareLoop;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.QueuedRequest;

/** What a request in progress needs of its process. */
@Singleton
final class FlowServices {
    private final Provider<ShareLoop> mShares;
    private final PeerPart mPeers;
    private final Attempts mAttempts;
    private final Claims mClaims;
    private final Retries mRetries;
    private final Consumer<DecisionRecord> mRecords;
    private final Provider<RouterMetrics> mMetrics;
    private final RouterThreads mThreads;
    private final InstantSource mClock;

    @Inject
    FlowServices(
            Provider<ShareLoop> shares,
            PeerPart peers,
            Attempts attempts,
            Claims claims,
            Retries retries,
            Consumer<DecisionRecord> records,
            Provider<RouterMetrics> metrics,
            RouterThreads threads,
            InstantSource clock) {
        mShares = shares;
        mPeers = peers;
        mAttempts = attempts;
        mClaims = claims;
        mRetries = retries;
        mRecords = records;
        mMetrics = metrics;
        mThreads = threads;
        mClock = clock;
    }

    void submit(QueuedRequest request) {
        mShares.get().submit(request);
    }

    void withdraw(RequestId request) {
        mShares.get().cancel(request);
    }

    void progress(RequestId request, double usedUnits) {
        mShares.get().progress(request, usedUnits);
    }

    void finish(RequestId request, AttemptOutcome end, double usedUnits) {
        mShares.get().finish(request, end, usedUnits);
    }

    /** Gives back a slot for a request that has ended in the meantime. */
    void releaseUnused(RequestId request) {
        mShares.get().finish(request, AttemptOutcome.CANCELLED, 0);
    }

    /** Keeps and counts how a request ended. */
    void ended(RequestEnd end) {
        mRecords.accept(end.toRecord());
        mMetrics.get().ended(end);
        if (end.cause() == Cause.COMPLETED) {
            mRetries.succeeded(end.atMillis());
        }
    }

    ScheduledFuture<?> after(long delayMillis, Runnable work) {
        return mThreads.after(delayMillis, work);
    }

    Executor writers() {
        return mThreads.writers();
    }

    PeerPart peers() {
        return mPeers;
    }

    Attempts attempts() {
        return mAttempts;
    }

    Claims claims() {
        return mClaims;
    }

    RetryAllowance retryAllowance() {
        return mRetries;
    }

    Consumer<DecisionRecord> records() {
        return mRecords;
    }

    InstantSource clock() {
        return mClock;
    }
}
