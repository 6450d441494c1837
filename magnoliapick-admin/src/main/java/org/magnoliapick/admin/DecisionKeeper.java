package org.magnoliapick.admin;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.record.DecisionRecord;
import org.magnoliapick.record.DecisionRing;
import org.magnoliapick.record.KeptDecision;
import org.magnoliapick.record.RequestExplanation;
import org.magnoliapick.record.SummaryBatch;
import org.magnoliapick.record.SummaryBuilder;
import org.magnoliapick.record.SummaryHistory;

/** Keeps the decisions of this instance and sums them up. Any thread may call it. */
public final class DecisionKeeper implements Consumer<DecisionRecord> {
    private static final long MAX_PENDING =
            SummaryHistory.RETENTION_MILLIS / SummaryBuilder.WINDOW_MILLIS;

    private final InstanceId mInstance;
    private final Supplier<FleetConfig> mConfig;
    private final InstantSource mClock;
    private final DecisionRing mRing;
    private final SummaryBuilder mBuilder;
    private final SummaryHistory mHistory = new SummaryHistory();
    private final Deque<SummaryBatch> mPending = new ArrayDeque<>();

    /** Creates a keeper of at most the given number of decisions. */
    public DecisionKeeper(
            InstanceId instance,
            Supplier<FleetConfig> config,
            InstantSource clock,
            int maxDecisions) {
        mInstance = instance;
        mConfig = config;
        mClock = clock;
        mRing = new DecisionRing(maxDecisions);
        mBuilder = new SummaryBuilder(instance, clock.millis());
    }

    @Override
    public synchronized void accept(DecisionRecord decision) {
        FleetConfig config = mConfig.get();
        roll();
        mRing.add(new KeptDecision(decision, config.offset()));
        mBuilder.add(decision, config);
    }

    /** Tells what happened to a request here, if any of its decisions is kept. */
    public synchronized Optional<RequestExplanation> story(RequestId request) {
        return RequestExplanation.of(mInstance, mRing.decisionsFor(request));
    }

    /** Returns the summaries of this instance since a time, the present window included. */
    public synchronized List<SummaryBatch> since(long fromMillis) {
        roll();
        List<SummaryBatch> batches = new ArrayList<>(mHistory.since(fromMillis));
        batches.add(mBuilder.currentBatch(mConfig.get().offset()));
        return batches;
    }

    /** Returns the batches that are not in the log yet, oldest first. */
    synchronized List<SummaryBatch> pending() {
        roll();
        return List.copyOf(mPending);
    }

    /** Takes note that batches are in the log. */
    synchronized void written(List<SummaryBatch> batches) {
        mPending.removeAll(batches);
    }

    private void roll() {
        long nowMillis = mClock.millis();
        Optional<SummaryBatch> batch = mBuilder.roll(nowMillis, mConfig.get().offset());
        if (batch.isPresent()) {
            mHistory.add(batch.get());
            mHistory.expire(nowMillis);
            mPending.addLast(batch.get());
            if (mPending.size() > MAX_PENDING) {
                mPending.removeFirst();
            }
        }
    }
}
