package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareNode;
import org.magnoliapick.share.SharePolicy;
import org.magnoliapick.share.ShareSettings;

/**
 * Instances with the dispatcher policy, connected by a lossy network and run in virtual time. The
 * upstreams accept every request.
 */
final class FakeFleet {
    private static final long LATENCY_MILLIS = 1;

    final Map<String, ShareNode> mInstances = new TreeMap<>();
    final Map<String, Double> mServiceByWorkspace = new TreeMap<>();
    final Map<String, Integer> mInFlight = new TreeMap<>();
    final Map<String, Integer> mMaxInFlight = new TreeMap<>();
    final List<ShareAction.Refuse> mRefusals = new ArrayList<>();
    final Map<String, Long> mLastStartMillis = new TreeMap<>();
    int mSentMessages;
    int mStartedRequests;
    long mNowMillis;
    double mLossRatio;
    double mDuplicateRatio;
    long mJitterMillis;
    BiPredicate<String, String> mPartitioned = (from, to) -> false;

    private final Random mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final Map<String, FailureDomain> mDomains = new HashMap<>();
    private final Map<String, Long> mIncarnations = new HashMap<>();
    private final Map<String, String> mWorkspaces = new HashMap<>();
    private final Map<String, Set<String>> mClosedLoops = new TreeMap<>();
    private final Map<String, Double> mCostMillis = new HashMap<>();
    private final List<UpstreamMember> mUpstreams = new ArrayList<>();
    private FleetConfig mConfig = FleetConfig.EMPTY;
    private long mSequence;

    private record Event(long atMillis, long sequence, Runnable step) {}

    FakeFleet(long seed) {
        mRandom = new Random(seed);
    }

    /** Starts an instance without any state from an earlier incarnation. */
    void start(String router, FailureDomain domain) {
        mDomains.put(router, domain);
        long incarnation = mNowMillis + 1;
        mIncarnations.put(router, incarnation);
        ShareNode instance =
                SharePolicy.DISPATCHER.create(
                        ShareSettings.defaults(new InstanceId(router), incarnation, domain, 7));
        mInstances.put(router, instance);
        mClosedLoops.computeIfAbsent(router, name -> new HashSet<>());
        run(router, instance, instance.configChanged(mConfig, mNowMillis));
        run(router, instance, instance.viewChanged(view(), mNowMillis));
        schedule(mNowMillis, () -> tick(router, instance));
    }

    /** Stops an instance at once; it never learns how its running requests ended. */
    void kill(String router) {
        mInstances.remove(router);
    }

    void configure(FleetConfig config) {
        mConfig = config;
        mInstances.forEach(
                (name, instance) ->
                        run(name, instance, instance.configChanged(config, mNowMillis)));
    }

    void setUpstreams(UpstreamMember... upstreams) {
        mUpstreams.clear();
        mUpstreams.addAll(List.of(upstreams));
        publishView();
    }

    void publishView() {
        mInstances.forEach(
                (name, instance) -> run(name, instance, instance.viewChanged(view(), mNowMillis)));
    }

    FleetView view() {
        List<RouterMember> routers = new ArrayList<>();
        mInstances
                .keySet()
                .forEach(name -> routers.add(ShareFixture.router(name, mDomains.get(name))));
        return new FleetView(routers, mUpstreams);
    }

    /**
     * Keeps this number of requests of a workspace at an instance: each one that ends is replaced.
     *
     * @param cost the mean cost of a request in milliseconds
     */
    void keepBacklogged(String router, String workspace, int requests, double cost) {
        mCostMillis.put(workspace, cost);
        mClosedLoops.get(router).add(workspace);
        for (int i = 0; i < requests; i++) {
            submit(router, workspace);
        }
    }

    void submit(String router, String workspace) {
        String id = workspace + "-" + mSequence++;
        mWorkspaces.put(id, workspace);
        ShareNode instance = mInstances.get(router);
        run(router, instance, instance.submit(ShareFixture.request(id, workspace), mNowMillis));
    }

    void runUntil(long untilMillis) {
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= untilMillis) {
            Event event = mEvents.remove();
            mNowMillis = event.atMillis();
            event.step().run();
        }
        mNowMillis = untilMillis;
    }

    /** Returns the difference in service between the most and the least served workspace. */
    double serviceGap() {
        double most =
                mServiceByWorkspace.values().stream().mapToDouble(units -> units).max().orElse(0);
        double least =
                mServiceByWorkspace.values().stream().mapToDouble(units -> units).min().orElse(0);
        return most - least;
    }

    double totalService() {
        return mServiceByWorkspace.values().stream().mapToDouble(units -> units).sum();
    }

    void run(String router, ShareNode instance, List<ShareAction> actions) {
        for (ShareAction action : actions) {
            if (action instanceof ShareAction.Start start) {
                startRequest(router, instance, start);
            } else if (action instanceof ShareAction.Send send) {
                send(router, send);
            } else if (action instanceof ShareAction.Refuse refuse) {
                mRefusals.add(refuse);
            }
        }
    }

    private void tick(String router, ShareNode instance) {
        if (mInstances.get(router) == instance) {
            run(router, instance, instance.tick(mNowMillis));
            schedule(mNowMillis + instance.tickIntervalMillis(), () -> tick(router, instance));
        }
    }

    private void startRequest(String router, ShareNode instance, ShareAction.Start start) {
        mStartedRequests++;
        String upstream = start.upstream().value();
        int inFlight = mInFlight.merge(upstream, 1, Integer::sum);
        mMaxInFlight.merge(upstream, inFlight, Math::max);
        mLastStartMillis.put(upstream, mNowMillis);
        String workspace = mWorkspaces.get(start.request().value());
        double cost = mCostMillis.getOrDefault(workspace, 100.0) * (0.5 + mRandom.nextDouble());
        schedule(
                mNowMillis + (long) cost,
                () -> finishRequest(router, instance, start, workspace, cost));
    }

    private void finishRequest(
            String router,
            ShareNode instance,
            ShareAction.Start start,
            String workspace,
            double cost) {
        mInFlight.merge(start.upstream().value(), -1, Integer::sum);
        mServiceByWorkspace.merge(workspace, cost, Double::sum);
        if (mInstances.get(router) != instance) {
            return;
        }
        RequestId id = start.request();
        run(router, instance, instance.finish(id, AttemptOutcome.WHOLE, cost, mNowMillis));
        if (mClosedLoops.get(router).contains(workspace)) {
            submit(router, workspace);
        }
    }

    private void send(String from, ShareAction.Send send) {
        mSentMessages++;
        int copies = mRandom.nextDouble() < mDuplicateRatio ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() < mLossRatio) {
                continue;
            }
            long jitter = mJitterMillis == 0 ? 0 : mRandom.nextInt((int) mJitterMillis);
            long incarnation = mIncarnations.get(from);
            schedule(mNowMillis + LATENCY_MILLIS + jitter, () -> receive(from, incarnation, send));
        }
    }

    private void receive(String from, long incarnation, ShareAction.Send send) {
        String to = send.to().value();
        ShareNode instance = mInstances.get(to);
        if (instance != null && !mPartitioned.test(from, to)) {
            InstanceId sender = new InstanceId(from);
            run(to, instance, instance.receive(sender, incarnation, send.message(), mNowMillis));
        }
    }

    private void schedule(long atMillis, Runnable step) {
        mEvents.add(new Event(atMillis, mSequence++, step));
    }

    int inFlight(UpstreamId upstream) {
        return mInFlight.getOrDefault(upstream.value(), 0);
    }
}
