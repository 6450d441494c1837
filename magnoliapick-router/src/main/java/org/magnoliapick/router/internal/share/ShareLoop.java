package org.magnoliapick.router.internal.share;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.router.internal.supervisor.Part;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.LoadReport;
import org.magnoliapick.share.QueuedRequest;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareMessage;
import org.magnoliapick.share.ShareNode;

/**
 * Drives the {@link ShareNode} on one thread. Any thread may hand in an event; the actions go to
 * the {@link ShareSink}.
 */
@Singleton
public final class ShareLoop implements Part {
    private final ShareNode mNode;
    private final ShareSink mSink;
    private final InstantSource mClock;
    private final BlockingQueue<LongFunction<List<ShareAction>>> mEvents =
            new LinkedBlockingQueue<>();
    private long mNextTickMillis;

    @Inject
    ShareLoop(ShareNode node, ShareSink sink, InstantSource clock) {
        mNode = node;
        mSink = sink;
        mClock = clock;
    }

    @Override
    public String name() {
        return "shares";
    }

    @Override
    public void step() throws InterruptedException {
        long waitMillis = Math.max(0, mNextTickMillis - mClock.millis());
        LongFunction<List<ShareAction>> event = mEvents.poll(waitMillis, TimeUnit.MILLISECONDS);
        if (event != null) {
            mSink.perform(event.apply(mClock.millis()));
        }
        tickIfDue(mClock.millis());
    }

    /** Queues a request. */
    public void submit(QueuedRequest request) {
        mEvents.add(nowMillis -> mNode.submit(request, nowMillis));
    }

    /** Forgets a request that waits. */
    public void cancel(RequestId request) {
        mEvents.add(nowMillis -> mNode.cancel(request, nowMillis));
    }

    /** Notes what a started request has used so far, in service units. */
    public void progress(RequestId request, double usedUnits) {
        mEvents.add(nowMillis -> mNode.progress(request, usedUnits, nowMillis));
    }

    /** Frees the slot of a started request and charges what it used, in service units. */
    public void finish(RequestId request, AttemptOutcome end, double usedUnits) {
        mEvents.add(nowMillis -> mNode.finish(request, end, usedUnits, nowMillis));
    }

    /** Hands in a message of another instance. */
    public void receive(InstanceId from, long incarnation, ShareMessage message) {
        mEvents.add(nowMillis -> mNode.receive(from, incarnation, message, nowMillis));
    }

    /** Hands in a view of the fleet. */
    public void viewChanged(FleetView view) {
        mEvents.add(nowMillis -> mNode.viewChanged(view, nowMillis));
    }

    /** Hands in a configuration. */
    public void configChanged(FleetConfig config) {
        mEvents.add(nowMillis -> mNode.configChanged(config, nowMillis));
    }

    /** Hands in a load report. */
    public void loadReported(UpstreamId upstream, LoadReport report) {
        mEvents.add(nowMillis -> mNode.loadReported(upstream, report, nowMillis));
    }

    /** Hands in cache events. */
    public void cacheChanged(UpstreamId upstream, List<Long> stored, List<Long> evicted) {
        mEvents.add(nowMillis -> mNode.cacheChanged(upstream, stored, evicted, nowMillis));
    }

    /** Stops taking part in granting. */
    public void leave() {
        mEvents.add(mNode::leave);
    }

    /** Returns the number of events that wait. */
    public int waitingEvents() {
        return mEvents.size();
    }

    private void tickIfDue(long nowMillis) {
        if (nowMillis >= mNextTickMillis) {
            mNextTickMillis = nowMillis + mNode.tickIntervalMillis();
            mSink.perform(mNode.tick(nowMillis));
        }
    }
}
