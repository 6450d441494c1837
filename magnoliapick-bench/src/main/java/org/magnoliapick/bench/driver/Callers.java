package org.magnoliapick.bench.driver;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.magnoliapick.bench.scenario.Load;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.share.QueuedRequest;

/** Makes the requests of all callers, and has fixed callers come back. */
final class Callers {
    private static final long RETURN_AFTER_LOSS_MICROS = Times.MICROS_PER_SECOND;
    private static final long LEAST_RETRY_MILLIS = 100;

    private final Fleet mFleet;
    private final EventQueue mEvents;
    private final Consumer<BenchRequest> mSubmit;
    private final List<Caller> mCallers = new ArrayList<>();
    private long mNextRequest;

    Callers(
            Fleet fleet,
            EventQueue events,
            SplittableRandom random,
            Consumer<BenchRequest> submit) {
        mFleet = fleet;
        mEvents = events;
        mSubmit = submit;
        for (Fleet.Demand demand : fleet.demands()) {
            List<RouterSlot> routers = place(demand.load(), random.split());
            mCallers.add(
                    new Caller(
                            demand.flow(),
                            demand.load(),
                            routers,
                            fleet.routers(),
                            random.split()));
        }
    }

    void start() {
        for (Caller caller : mCallers) {
            for (int i = 0; i < caller.load().outstanding(); i++) {
                int index = i;
                mEvents.after(0, () -> arrive(caller, index));
            }
            if (caller.load().perSecond() > 0) {
                scheduleArrival(caller);
            }
        }
    }

    /** The request got its whole answer. */
    void answered(BenchRequest request) {
        comeBack(request, 0);
    }

    /** The request was refused. */
    void refused(BenchRequest request, long retryAfterMillis) {
        comeBack(request, Times.ofMillis(Math.max(retryAfterMillis, LEAST_RETRY_MILLIS)));
    }

    /** The entry instance was lost with the request. */
    void lost(BenchRequest request) {
        comeBack(request, RETURN_AFTER_LOSS_MICROS);
    }

    private void comeBack(BenchRequest request, long delayMicros) {
        if (request.mCallerIndex >= 0) {
            mEvents.after(delayMicros, () -> arrive(request.mCaller, request.mCallerIndex));
        }
    }

    private void scheduleArrival(Caller caller) {
        mEvents.after(
                caller.drawGapMicros(),
                () -> {
                    submit(caller, -1, caller.drawRouter());
                    scheduleArrival(caller);
                });
    }

    private void arrive(Caller caller, int index) {
        submit(caller, index, caller.routerOf(index));
    }

    private void submit(Caller caller, int index, RouterSlot router) {
        double costUnits = caller.drawCost();
        Load load = caller.load();
        double deadlineMillis = load.deadlineSeconds() * 1_000;
        QueuedRequest queued =
                new QueuedRequest(
                        new RequestId("r" + mNextRequest++),
                        caller.flow().workspace(),
                        load.target(),
                        kindOf(load.target()),
                        load.requestClass(),
                        load.hint().of(costUnits, caller.random()),
                        mEvents.nowMillis() + Math.round(deadlineMillis),
                        List.of(),
                        Optional.empty(),
                        Set.of());
        mSubmit.accept(
                new BenchRequest(caller, index, costUnits, mEvents.nowMicros(), router, queued));
    }

    private TargetKind kindOf(String target) {
        return mFleet.upstreams().values().stream()
                .filter(upstream -> upstream.group().target().equals(target))
                .findFirst()
                .orElseThrow()
                .group()
                .kind();
    }

    private List<RouterSlot> place(Load load, SplittableRandom random) {
        List<RouterSlot> allowed = new ArrayList<>();
        for (RouterSlot router : mFleet.routers()) {
            if (load.entryDomains().isEmpty() || load.entryDomains().contains(router.mDomain)) {
                allowed.add(router);
            }
        }
        int wanted = load.spread() == 0 ? allowed.size() : Math.min(load.spread(), allowed.size());
        List<RouterSlot> chosen = new ArrayList<>();
        while (chosen.size() < wanted) {
            chosen.add(allowed.remove(random.nextInt(allowed.size())));
        }
        return chosen;
    }
}
