package org.magnoliapick.bench.driver;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.magnoliapick.bench.policy.Oracle;
import org.magnoliapick.bench.policy.Policy;
import org.magnoliapick.bench.scenario.Fault;
import org.magnoliapick.bench.scenario.Scenario;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.LoadReport;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareMessage;
import org.magnoliapick.share.ShareNode;

/** Runs one scenario with one policy and one seed in virtual time, on one thread. */
public final class Simulation implements Attempts.Ends, Oracle, FaultInjector.Target {
    private static final long PROGRESS_MILLIS = 250;

    /** The virtual clock starts here, so that times look like milliseconds since the epoch. */
    private static final long START_MICROS = 1_000_000 * Times.MICROS_PER_SECOND;

    private final Scenario mScenario;
    private final Policy mPolicy;
    private final SplittableRandom mNodeSeeds;
    private final EventQueue mEvents = new EventQueue();
    private final Map<RequestId, BenchRequest> mRequests = new LinkedHashMap<>();
    private final Network mNetwork;
    private final Attempts mAttempts;
    private final Fleet mFleet;
    private final ServiceMeter mMeter;
    private final Measurements mMeasurements;
    private final ControlPlane mControl;
    private final Callers mCallers;
    private Policy.Nodes mNodes;

    /** Prepares a run. */
    public Simulation(Scenario scenario, Policy policy, long seed, MessageSize size) {
        SplittableRandom root = new SplittableRandom(seed);
        mScenario = scenario;
        mPolicy = policy;
        mNodeSeeds = root.split();
        mNetwork = new Network(scenario.links(), root.split());
        long timeoutMicros = Times.ofMillis(scenario.membership().suspicionMillis());
        mAttempts = new Attempts(mEvents, mNetwork, timeoutMicros, this);
        mFleet = new Fleet(scenario, mNetwork, mEvents, mAttempts);
        int targets = scenario.targets().size();
        mMeter = new ServiceMeter(mFleet.flows(), targets);
        long warmUpMicros = START_MICROS + Times.ofSeconds(scenario.warmupSeconds());
        mMeasurements = new Measurements(mMeter, targets, warmUpMicros);
        mAttempts.measureWith(mMeter, mMeasurements);
        mControl = new ControlPlane(mEvents, mNetwork, mFleet.routers(), size, this::receive);
        mCallers = new Callers(mFleet, mEvents, root.split(), this::submit);
    }

    /** Runs the scenario to its end. */
    public Measurements run() {
        mEvents.runUntil(START_MICROS);
        mMeter.startAt(START_MICROS);
        mNodes = mPolicy.open(this);
        mFleet.upstreams().values().forEach(upstream -> changeSlots(upstream, 1));
        mFleet.routers().forEach(router -> router.mUp = true);
        mFleet.routers().forEach(this::startRouter);
        mFleet.routers().forEach(this::scheduleTick);
        mFleet.upstreams().values().forEach(this::scheduleReport);
        scheduleProgress();
        scheduleSample();
        FaultInjector faults =
                new FaultInjector(
                        mEvents, mNetwork, mFleet, mControl, mScenario.membership(), this);
        for (Fault fault : mScenario.faults()) {
            faults.schedule(fault, START_MICROS);
        }
        mCallers.start();
        mEvents.runUntil(START_MICROS + Times.ofSeconds(mScenario.durationSeconds()));
        mMeasurements.setControl(mControl.cost(mMeasurements.whole(), mScenario.durationSeconds()));
        return mMeasurements;
    }

    @Override
    public double cost(RequestId request) {
        return mRequests.get(request).mCostUnits;
    }

    @Override
    public boolean reaches(RequestId request, UpstreamId upstream) {
        String from = mRequests.get(request).mRouter.mDomain;
        return mNetwork.connects(from, mFleet.upstreams().get(upstream).domain());
    }

    @Override
    public int slots(UpstreamId id) {
        FakeUpstream upstream = mFleet.upstreams().get(id);
        return upstream.isUp() && !upstream.isLeaving() ? upstream.slots() : 0;
    }

    @Override
    public void ended(BenchRequest request, AttemptOutcome end, double usedUnits) {
        RouterSlot router = request.mRouter;
        RequestId id = request.mQueued.id();
        if (end == AttemptOutcome.WHOLE) {
            forget(request);
            mMeasurements.endedWhole();
        }
        List<ShareAction> actions = router.mNode.finish(id, end, usedUnits, mEvents.nowMillis());
        carryOut(router, actions);
        if (end == AttemptOutcome.WHOLE) {
            mCallers.answered(request);
        } else {
            carryOut(router, router.mNode.submit(request.mQueued, mEvents.nowMillis()));
        }
    }

    @Override
    public void refreshViews() {
        for (RouterSlot router : mFleet.routers()) {
            if (router.mUp) {
                giveView(router);
            }
        }
    }

    @Override
    public void breakCutAttempts() {
        mAttempts.breakCut();
    }

    @Override
    public void loseRouter(RouterSlot router) {
        router.mUp = false;
        mAttempts.abandonAllOf(router);
        for (BenchRequest request : new ArrayList<>(router.mRequests.values())) {
            if (mPolicy.sharesOneNode()) {
                dropFromSharedNode(router, request.mQueued.id());
            }
            forget(request);
            mMeter.waiting(request, false, mEvents.nowMicros());
            mCallers.lost(request);
        }
    }

    @Override
    public void restartRouter(RouterSlot router) {
        router.mUp = true;
        startRouter(router);
    }

    @Override
    public void loseUpstream(FakeUpstream upstream) {
        changeSlots(upstream, -1);
        mAttempts.stop(upstream);
    }

    @Override
    public void restartUpstream(FakeUpstream upstream) {
        upstream.restart();
        changeSlots(upstream, 1);
    }

    @Override
    public void setLeaving(FakeUpstream upstream, boolean leaving) {
        upstream.setLeaving(leaving);
        changeSlots(upstream, leaving ? -1 : 1);
    }

    private void startRouter(RouterSlot router) {
        router.mIncarnation = mEvents.nowMillis();
        FailureDomain domain = new FailureDomain(router.mDomain);
        long seed = mNodeSeeds.nextLong();
        router.mNode = mNodes.create(router.mId, domain, router.mIncarnation, seed);
        carryOut(router, router.mNode.configChanged(mFleet.config(), mEvents.nowMillis()));
        giveView(router);
    }

    private void giveView(RouterSlot router) {
        carryOut(router, router.mNode.viewChanged(mFleet.viewOf(router), mEvents.nowMillis()));
    }

    private void dropFromSharedNode(RouterSlot router, RequestId id) {
        ShareNode node = router.mNode;
        long nowMillis = mEvents.nowMillis();
        carryOut(router, node.cancel(id, nowMillis));
        carryOut(router, node.finish(id, AttemptOutcome.CANCELLED, 0, nowMillis));
    }

    private void submit(BenchRequest request) {
        RouterSlot router = request.mRouter;
        RequestId id = request.mQueued.id();
        mRequests.put(id, request);
        router.mRequests.put(id, request);
        mMeasurements.arrived(request);
        mMeter.waiting(request, true, mEvents.nowMicros());
        carryOut(router, router.mNode.submit(request.mQueued, mEvents.nowMillis()));
    }

    private void receive(RouterSlot to, InstanceId from, long incarnation, ShareMessage message) {
        carryOut(to, to.mNode.receive(from, incarnation, message, mEvents.nowMillis()));
    }

    private void carryOut(RouterSlot router, List<ShareAction> actions) {
        for (ShareAction action : actions) {
            if (action instanceof ShareAction.Start start) {
                start(start);
            } else if (action instanceof ShareAction.Refuse refuse) {
                refuse(refuse);
            } else if (action instanceof ShareAction.Send send) {
                mControl.send(router, send);
            }
        }
    }

    private void start(ShareAction.Start start) {
        BenchRequest request = mRequests.get(start.request());
        FakeUpstream upstream = mFleet.upstreams().get(start.upstream());
        if (request == null || request.mExecution != null || upstream == null) {
            throw new IllegalStateException(
                    mPolicy.label() + " started what does not wait: " + start);
        }
        mAttempts.start(request, upstream);
    }

    private void refuse(ShareAction.Refuse refuse) {
        BenchRequest request = mRequests.get(refuse.request());
        if (request == null || request.mExecution != null) {
            throw new IllegalStateException(
                    mPolicy.label() + " refused what does not wait: " + refuse);
        }
        forget(request);
        mMeter.waiting(request, false, mEvents.nowMicros());
        mMeasurements.refusedOne();
        mCallers.refused(request, refuse.retryAfterMillis());
    }

    private void forget(BenchRequest request) {
        RequestId id = request.mQueued.id();
        mRequests.remove(id);
        request.mRouter.mRequests.remove(id);
    }

    private void changeSlots(FakeUpstream upstream, int sign) {
        int target = mScenario.targets().indexOf(upstream.group().target());
        mMeter.slots(target, sign * upstream.slots(), mEvents.nowMicros());
    }

    private void scheduleTick(RouterSlot router) {
        long delayMicros = Times.ofMillis(router.mNode.tickIntervalMillis());
        mEvents.after(
                delayMicros,
                () -> {
                    if (router.mUp) {
                        carryOut(router, router.mNode.tick(mEvents.nowMillis()));
                    }
                    scheduleTick(router);
                });
    }

    private void scheduleReport(FakeUpstream upstream) {
        mEvents.after(
                Times.ofMillis(mScenario.loadReports().everyMillis()),
                () -> {
                    if (upstream.isUp()) {
                        LoadReport report = upstream.report();
                        long lagMicros = Times.ofMillis(mScenario.loadReports().lagMillis());
                        mEvents.after(lagMicros, () -> deliver(upstream, report));
                    }
                    scheduleReport(upstream);
                });
    }

    private void deliver(FakeUpstream upstream, LoadReport report) {
        for (RouterSlot router : mFleet.routers()) {
            if (router.mUp && mNetwork.connects(router.mDomain, upstream.domain())) {
                long nowMillis = mEvents.nowMillis();
                carryOut(router, router.mNode.loadReported(upstream.id(), report, nowMillis));
            }
        }
    }

    private void scheduleProgress() {
        mEvents.after(
                Times.ofMillis(PROGRESS_MILLIS),
                () -> {
                    mFleet.routers().forEach(this::reportProgress);
                    scheduleProgress();
                });
    }

    private void reportProgress(RouterSlot router) {
        for (Execution execution : mAttempts.openOf(router)) {
            double usedUnits = execution.mUpstream.usedUnits(execution);
            RequestId id = execution.mRequest.mQueued.id();
            carryOut(router, router.mNode.progress(id, usedUnits, mEvents.nowMillis()));
        }
    }

    private void scheduleSample() {
        mEvents.after(
                Times.ofMillis(ServiceMeter.SAMPLE_MILLIS),
                () -> {
                    sample();
                    scheduleSample();
                });
    }

    private void sample() {
        double[] usedByFlow = new double[mFleet.flows().size()];
        double[] costByTarget = new double[mScenario.targets().size()];
        for (FakeUpstream upstream : mFleet.upstreams().values()) {
            upstream.addRunning(usedByFlow, costByTarget);
        }
        mMeter.sample(usedByFlow, costByTarget, mEvents.nowMicros());
    }
}
