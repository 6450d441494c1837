package org.magnoliapick.bench.driver;

import java.util.Set;
import org.magnoliapick.bench.scenario.Fault;
import org.magnoliapick.bench.scenario.Membership;
import org.magnoliapick.lib.UpstreamId;

/** Schedules the faults of a scenario, and when the instances learn of them. */
final class FaultInjector {
    /** What a fault does to the running simulation. */
    interface Target {
        /** Gives every instance the present view of the fleet. */
        void refreshViews();

        /** Breaks the attempts whose router and upstream cannot reach each other. */
        void breakCutAttempts();

        /** Stops an entry instance. */
        void loseRouter(RouterSlot router);

        /** Starts an entry instance without memory. */
        void restartRouter(RouterSlot router);

        /** Stops an upstream. */
        void loseUpstream(FakeUpstream upstream);

        /** Starts an upstream again. */
        void restartUpstream(FakeUpstream upstream);

        /** Marks an upstream as leaving or as back. */
        void setLeaving(FakeUpstream upstream, boolean leaving);
    }

    private final EventQueue mEvents;
    private final Network mNetwork;
    private final Fleet mFleet;
    private final ControlPlane mControl;
    private final Membership mMembership;
    private final Target mTarget;
    private long mStartMicros;

    FaultInjector(
            EventQueue events,
            Network network,
            Fleet fleet,
            ControlPlane control,
            Membership membership,
            Target target) {
        mEvents = events;
        mNetwork = network;
        mFleet = fleet;
        mControl = control;
        mMembership = membership;
        mTarget = target;
    }

    /** Schedules a fault of a run that starts at a time in microseconds. */
    void schedule(Fault fault, long startMicros) {
        mStartMicros = startMicros;
        mEvents.at(startMicros + Times.ofSeconds(fault.atSeconds()), () -> start(fault));
    }

    private void start(Fault fault) {
        switch (fault.kind()) {
            case PARTITION -> startPartition(fault);
            case ROUTER_LOST -> startRouterLost(fault);
            case UPSTREAM_LEAVES -> startUpstreamLeaves(fault);
            case UPSTREAM_LOST -> startUpstreamLost(fault);
            default -> throw new IllegalStateException(fault.toString());
        }
    }

    private void startPartition(Fault fault) {
        Set<String> side = Set.copyOf(fault.domains());
        mNetwork.cut(side);
        long suspicionMicros = Times.ofMillis(mMembership.suspicionMillis());
        mEvents.after(suspicionMicros, mTarget::breakCutAttempts);
        mEvents.after(suspicionMicros, mTarget::refreshViews);
        atEnd(
                fault,
                () -> {
                    mNetwork.heal(side);
                    refreshAfter(mMembership.heartbeatMillis());
                });
    }

    private void startRouterLost(Fault fault) {
        RouterSlot router = routerOf(fault);
        mTarget.loseRouter(router);
        refreshAfter(mMembership.suspicionMillis());
        atEnd(
                fault,
                () -> {
                    mTarget.restartRouter(router);
                    refreshAfter(mMembership.heartbeatMillis());
                });
    }

    private void startUpstreamLeaves(Fault fault) {
        FakeUpstream upstream = upstreamOf(fault);
        mTarget.setLeaving(upstream, true);
        refreshAfter(mMembership.listLagMillis());
        atEnd(
                fault,
                () -> {
                    mTarget.setLeaving(upstream, false);
                    refreshAfter(mMembership.listLagMillis());
                });
    }

    private void startUpstreamLost(Fault fault) {
        FakeUpstream upstream = upstreamOf(fault);
        mTarget.loseUpstream(upstream);
        refreshAfter(mMembership.suspicionMillis());
        atEnd(
                fault,
                () -> {
                    mTarget.restartUpstream(upstream);
                    refreshAfter(mMembership.heartbeatMillis());
                });
    }

    private void atEnd(Fault fault, Runnable action) {
        mEvents.at(mStartMicros + Times.ofSeconds(fault.untilSeconds()), action);
    }

    private void refreshAfter(long delayMillis) {
        mEvents.after(Times.ofMillis(delayMillis), mTarget::refreshViews);
    }

    private RouterSlot routerOf(Fault fault) {
        if (fault.router().equals(Fault.BUSIEST)) {
            return mControl.busiest();
        }
        return mFleet.routers().stream()
                .filter(router -> router.mId.value().equals(fault.router()))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(fault.router()));
    }

    private FakeUpstream upstreamOf(Fault fault) {
        FakeUpstream upstream = mFleet.upstreams().get(new UpstreamId(fault.upstream()));
        if (upstream == null) {
            throw new IllegalArgumentException(fault.upstream());
        }
        return upstream;
    }
}
