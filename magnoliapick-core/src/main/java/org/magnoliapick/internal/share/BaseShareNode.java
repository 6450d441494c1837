package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.record.Cause;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.LoadReport;
import org.magnoliapick.share.QueuedRequest;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareNode;
import org.magnoliapick.share.ShareSettings;

/**
 * The part of the sharing policies that is local to an instance: queues, charging of used service
 * and refusals. Subclasses decide when a queued request gets a slot.
 */
abstract class BaseShareNode implements ShareNode {
    /** How long queued requests wait for an upstream after the last one of their target is lost. */
    private static final long NO_UPSTREAM_GRACE_MILLIS = 2_000;

    private final ShareSettings mSettings;
    private final QueueTable mQueues = new QueueTable();
    private final UpstreamTable mUpstreams = new UpstreamTable();
    private final LocalScheduler mScheduler = new LocalScheduler(mQueues);
    private final CostEstimator mCosts = new CostEstimator();
    private final Admission mAdmission;
    private final Map<RequestId, RunningRequest> mRunning = new HashMap<>();
    private final Map<String, Long> mUnservedSinceMillis = new HashMap<>();
    private FleetView mView = FleetView.EMPTY;
    private FleetConfig mConfig = FleetConfig.EMPTY;
    private Optional<WorkspaceId> mLastStarted = Optional.empty();
    private List<ShareAction> mActions = new ArrayList<>();

    BaseShareNode(ShareSettings settings) {
        mSettings = settings;
        mAdmission = new Admission(mQueues, settings.maxQueuedRequests());
    }

    /** Called after the queue of a workspace for a target has changed. */
    abstract void queueChanged(String target, WorkspaceId workspace, long nowMillis);

    /** Called after a request was started. */
    abstract void started(RunningRequest running, long nowMillis);

    /** Called after the used service of a request has increased, in service units. */
    abstract void used(
            RunningRequest running, double increase, double remainingBefore, long nowMillis);

    /** Called after a request has ended and its slot is free. */
    abstract void ended(RunningRequest running, AttemptOutcome end, long nowMillis);

    /** Starts the queued requests of a target that have a slot. */
    abstract void startWaiting(String target, long nowMillis);

    /** Called at each tick before queued requests are started. */
    abstract void ticked(long nowMillis);

    /** Sends pending messages; called after each event. */
    abstract void flush(long nowMillis);

    @Override
    public final List<ShareAction> submit(QueuedRequest request, long nowMillis) {
        if (mQueues.contains(request.id()) || mRunning.containsKey(request.id())) {
            return List.of();
        }
        boolean served =
                mUpstreams.serving(request.target()).stream()
                        .anyMatch(upstream -> !request.excluded().contains(upstream.id()));
        Optional<ErrorKind> refusal = mAdmission.check(request, served, nowMillis);
        if (refusal.isPresent()) {
            refuse(request, refusal.get(), nowMillis);
            return takeActions(nowMillis);
        }
        mQueues.add(request, nowMillis);
        addAction(DecisionRecords.admitted(request, mQueues, nowMillis));
        notifyQueueChanged(request, nowMillis);
        startWaiting(request.target(), nowMillis);
        return takeActions(nowMillis);
    }

    @Override
    public final List<ShareAction> cancel(RequestId request, long nowMillis) {
        mQueues.remove(request)
                .ifPresent(waiting -> notifyQueueChanged(waiting.request(), nowMillis));
        return takeActions(nowMillis);
    }

    @Override
    public final List<ShareAction> progress(RequestId request, double usedUnits, long nowMillis) {
        RunningRequest running = mRunning.get(request);
        if (running != null) {
            observeTokenGap(running, charge(running, usedUnits, nowMillis), nowMillis);
        }
        return takeActions(nowMillis);
    }

    @Override
    public final List<ShareAction> finish(
            RequestId request, AttemptOutcome end, double usedUnits, long nowMillis) {
        RunningRequest running = mRunning.remove(request);
        if (running == null) {
            return takeActions(nowMillis);
        }
        charge(running, finalUnits(running, end, usedUnits), nowMillis);
        if (end == AttemptOutcome.WHOLE) {
            mCosts.observe(running.request(), running.usedUnits());
        }
        Upstream upstream = running.upstream();
        upstream.addInFlight(-1);
        if (upstream.ejection().recordEnd(end, nowMillis)) {
            addAction(DecisionRecords.ejected(running, nowMillis));
        }
        mScheduler.ended(running);
        ended(running, end, nowMillis);
        upstream.member().targets().forEach(target -> startWaiting(target, nowMillis));
        return takeActions(nowMillis);
    }

    @Override
    public List<ShareAction> viewChanged(FleetView view, long nowMillis) {
        mView = view;
        mUpstreams.setView(view);
        startAllWaiting(nowMillis);
        return takeActions(nowMillis);
    }

    @Override
    public List<ShareAction> configChanged(FleetConfig config, long nowMillis) {
        if (config.offset() < mConfig.offset()) {
            return List.of();
        }
        mConfig = config;
        mUpstreams.setConfig(config);
        mScheduler.setConfig(config);
        mAdmission.setConfig(config);
        return takeActions(nowMillis);
    }

    @Override
    public List<ShareAction> loadReported(UpstreamId upstream, LoadReport report, long nowMillis) {
        mUpstreams
                .find(upstream)
                .ifPresent(known -> known.slotLimit().applyReport(report, nowMillis));
        return takeActions(nowMillis);
    }

    @Override
    public List<ShareAction> cacheChanged(
            UpstreamId upstream, List<Long> stored, List<Long> evicted, long nowMillis) {
        mUpstreams.find(upstream).ifPresent(known -> known.cacheHints().update(stored, evicted));
        return takeActions(nowMillis);
    }

    @Override
    public final List<ShareAction> tick(long nowMillis) {
        refuseExpired(nowMillis);
        refuseUnserved(nowMillis);
        ticked(nowMillis);
        startAllWaiting(nowMillis);
        return takeActions(nowMillis);
    }

    @Override
    public final long tickIntervalMillis() {
        return mSettings.tickIntervalMillis();
    }

    /** Removes a request from its queue and starts it at an upstream. */
    final void start(WaitingRequest waiting, Upstream upstream, Cause cause, long nowMillis) {
        QueuedRequest request = waiting.request();
        RunningRequest running = new RunningRequest(request, upstream, mCosts.estimate(request));
        double normalisedService =
                mScheduler.normalisedService(request.target(), request.workspace());
        recordWait(waiting, cause, nowMillis);
        mQueues.remove(request.id());
        mRunning.put(request.id(), running);
        upstream.addInFlight(1);
        upstream.cacheHints().addRequest(request);
        mAdmission.recordStart(request.workspace(), nowMillis);
        mScheduler.started(running);
        started(running, nowMillis);
        notifyQueueChanged(request, nowMillis);
        addAction(new ShareAction.Start(request.id(), upstream.id()));
        addAction(DecisionRecords.started(running, cause, normalisedService, nowMillis));
        mLastStarted = Optional.of(request.workspace());
    }

    final void startAllWaiting(long nowMillis) {
        mQueues.targets().forEach(target -> startWaiting(target, nowMillis));
    }

    final void addAction(ShareAction action) {
        mActions.add(action);
    }

    final List<ShareAction> takeActions(long nowMillis) {
        flush(nowMillis);
        if (mActions.isEmpty()) {
            return List.of();
        }
        List<ShareAction> taken = mActions;
        mActions = new ArrayList<>();
        return taken;
    }

    final ShareSettings settings() {
        return mSettings;
    }

    final QueueTable queues() {
        return mQueues;
    }

    final UpstreamTable upstreams() {
        return mUpstreams;
    }

    final LocalScheduler scheduler() {
        return mScheduler;
    }

    final CostEstimator costs() {
        return mCosts;
    }

    final FleetView view() {
        return mView;
    }

    final FleetConfig config() {
        return mConfig;
    }

    private double charge(RunningRequest running, double usedUnits, long nowMillis) {
        double remainingBefore = running.remainingUnits();
        double increase = running.updateUsed(usedUnits);
        if (increase > 0) {
            mScheduler.used(running, increase, remainingBefore);
            used(running, increase, remainingBefore, nowMillis);
        }
        return increase;
    }

    /** Returns the final cost; a complete response without a valid cost is charged its estimate. */
    private static double finalUnits(RunningRequest running, AttemptOutcome end, double usedUnits) {
        boolean valid = usedUnits >= 0 && !Double.isInfinite(usedUnits);
        return end == AttemptOutcome.WHOLE && !valid ? running.estimateUnits() : usedUnits;
    }

    private static void observeTokenGap(RunningRequest running, double increase, long nowMillis) {
        long elapsedMillis = running.sinceProgressMillis(nowMillis);
        if (increase > 0 && elapsedMillis > 0) {
            running.upstream().slotLimit().observeGap(elapsedMillis / increase, nowMillis);
        }
    }

    private void refuseExpired(long nowMillis) {
        for (WaitingRequest waiting : mQueues.expired(nowMillis)) {
            refuseWaiting(waiting, ErrorKind.DEADLINE_BEFORE_START, nowMillis);
        }
    }

    private void refuseUnserved(long nowMillis) {
        for (String target : mQueues.targets()) {
            if (mQueues.workspaces(target).isEmpty() || !mUpstreams.serving(target).isEmpty()) {
                mUnservedSinceMillis.remove(target);
                continue;
            }
            long sinceMillis = mUnservedSinceMillis.computeIfAbsent(target, name -> nowMillis);
            if (nowMillis - sinceMillis >= NO_UPSTREAM_GRACE_MILLIS) {
                mQueues.all(target)
                        .forEach(
                                waiting ->
                                        refuseWaiting(waiting, ErrorKind.NO_UPSTREAM, nowMillis));
            }
        }
    }

    private void refuseWaiting(WaitingRequest waiting, ErrorKind kind, long nowMillis) {
        mQueues.remove(waiting.request().id());
        refuse(waiting.request(), kind, nowMillis);
        notifyQueueChanged(waiting.request(), nowMillis);
    }

    private void refuse(QueuedRequest request, ErrorKind kind, long nowMillis) {
        long retryAfterMillis = mAdmission.retryAfterMillis(kind, request.workspace(), nowMillis);
        addAction(new ShareAction.Refuse(request.id(), kind, retryAfterMillis));
        addAction(DecisionRecords.refused(request, kind, retryAfterMillis, nowMillis));
    }

    private void recordWait(WaitingRequest waiting, Cause startCause, long nowMillis) {
        if (nowMillis - waiting.arrivedMillis() < mSettings.tickIntervalMillis()) {
            return;
        }
        WorkspaceId own = waiting.request().workspace();
        Optional<WorkspaceId> ahead = mLastStarted.filter(last -> !last.equals(own));
        Cause cause = Cause.NO_SLOT;
        if (startCause == Cause.FALLBACK) {
            cause = Cause.FALLBACK;
        } else if (ahead.isPresent()) {
            cause = Cause.BEHIND_WORKSPACE;
        } else if (mLastStarted.isPresent()) {
            cause = Cause.BEHIND_OWN_REQUEST;
        }
        addAction(DecisionRecords.waited(waiting, cause, ahead, nowMillis));
    }

    private void notifyQueueChanged(QueuedRequest request, long nowMillis) {
        mScheduler.queueChanged(request.target(), request.workspace());
        queueChanged(request.target(), request.workspace(), nowMillis);
    }
}
