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

/** Nodes joined by a lossy network in virtual time, with upstreams that take whatever they get. */
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
    private final Map<String, Set<String>> mLoops = new TreeMap<>();
    private final Map<String, Double> mCosts = new HashMap<>();
    private final List<UpstreamMember> mUpstreams = new ArrayList<>();
    private FleetConfig mConfig = FleetConfig.EMPTY;
    private long mSequence;

    private record Event(long atMillis, long sequence, Runnable step) {}

    FakeFleet(long seed) {
        mRandom = new Random(seed);
    }

    /** Adds or restarts an instance; it has no memory. */
    void start(String router, FailureDomain domain) {
        mDomains.put(router, domain);
        long incarnation = mNowMillis + 1;
        mIncarnations.put(router, incarnation);
        ShareNode node =
                SharePolicy.DISPATCHER.create(
                        ShareSettings.defaults(new InstanceId(router), incarnation, domain, 7));
        mInstances.put(router, node);
        mLoops.computeIfAbsent(router, name -> new HashSet<>());
        run(router, node, node.configChanged(mConfig, mNowMillis));
        run(router, node, node.viewChanged(view(), mNowMillis));
        at(mNowMillis, () -> tick(router, node));
    }

    /** Ends an instance at once; what it ran never ends. */
    void kill(String router) {
        mInstances.remove(router);
    }

    void configure(FleetConfig config) {
        mConfig = config;
        mInstances.forEach((name, node) -> run(name, node, node.configChanged(config, mNowMillis)));
    }

    void setUpstreams(UpstreamMember... upstreams) {
        mUpstreams.clear();
        mUpstreams.addAll(List.of(upstreams));
        publishView();
    }

    void publishView() {
        mInstances.forEach((name, node) -> run(name, node, node.viewChanged(view(), mNowMillis)));
    }

    FleetView view() {
        List<RouterMember> routers = new ArrayList<>();
        mInstances.keySet().forEach(name -> routers.add(ShareFixture.router(name, mDomains.get(name))));
        return new FleetView(routers, mUpstreams);
    }

    /** Keeps so many requests of a workspace at an instance, each of the cost in milliseconds. */
    void keepBacklogged(String router, String workspace, int requests, double cost) {
        mCosts.put(workspace, cost);
        mLoops.get(router).add(workspace);
        for (int i = 0; i < requests; i++) {
            submit(router, workspace);
        }
    }

    void submit(String router, String workspace) {
        String id = workspace + "-" + mSequence++;
        mWorkspaces.put(id, workspace);
        ShareNode node = mInstances.get(router);
        run(router, node, node.submit(ShareFixture.request(id, workspace), mNowMillis));
    }

    void runUntil(long untilMillis) {
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= untilMillis) {
            Event event = mEvents.remove();
            mNowMillis = event.atMillis();
            event.step().run();
        }
        mNowMillis = untilMillis;
    }

    /** Returns the difference between the most and the least served workspace. */
    double serviceGap() {
        double most = mServiceByWorkspace.values().stream().mapToDouble(units -> units).max().orElse(0);
        double least = mServiceByWorkspace.values().stream().mapToDouble(units -> units).min().orElse(0);
        return most - least;
    }

    double totalService() {
        return mServiceByWorkspace.values().stream().mapToDouble(units -> units).sum();
    }

    void run(String router, ShareNode node, List<ShareAction> actions) {
        for (ShareAction action : actions) {
            if (action instanceof ShareAction.Start start) {
                begin(router, node, start);
            } else if (action instanceof ShareAction.Send send) {
                deliver(router, send);
            } else if (action instanceof ShareAction.Refuse refuse) {
                mRefusals.add(refuse);
            }
        }
    }

    private void tick(String router, ShareNode node) {
        if (mInstances.get(router) == node) {
            run(router, node, node.tick(mNowMillis));
            at(mNowMillis + node.tickIntervalMillis(), () -> tick(router, node));
        }
    }

    private void begin(String router, ShareNode node, ShareAction.Start start) {
        mStartedRequests++;
        String upstream = start.upstream().value();
        int inside = mInFlight.merge(upstream, 1, Integer::sum);
        mMaxInFlight.merge(upstream, inside, Math::max);
        mLastStartMillis.put(upstream, mNowMillis);
        String workspace = mWorkspaces.get(start.request().value());
        double cost = mCosts.getOrDefault(workspace, 100.0) * (0.5 + mRandom.nextDouble());
        at(mNowMillis + (long) cost, () -> end(router, node, start, workspace, cost));
    }

    private void end(
            String router, ShareNode node, ShareAction.Start start, String workspace, double cost) {
        mInFlight.merge(start.upstream().value(), -1, Integer::sum);
        mServiceByWorkspace.merge(workspace, cost, Double::sum);
        if (mInstances.get(router) != node) {
            return;
        }
        RequestId id = start.request();
        run(router, node, node.finish(id, AttemptOutcome.WHOLE, cost, mNowMillis));
        if (mLoops.get(router).contains(workspace)) {
            submit(router, workspace);
        }
    }

    private void deliver(String from, ShareAction.Send send) {
        mSentMessages++;
        int copies = mRandom.nextDouble() < mDuplicateRatio ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() < mLossRatio) {
                continue;
            }
            long jitter = mJitterMillis == 0 ? 0 : mRandom.nextInt((int) mJitterMillis);
            long incarnation = mIncarnations.get(from);
            at(mNowMillis + LATENCY_MILLIS + jitter, () -> arrive(from, incarnation, send));
        }
    }

    private void arrive(String from, long incarnation, ShareAction.Send send) {
        String to = send.to().value();
        ShareNode node = mInstances.get(to);
        if (node != null && !mPartitioned.test(from, to)) {
            InstanceId sender = new InstanceId(from);
            run(to, node, node.receive(sender, incarnation, send.message(), mNowMillis));
        }
    }

    private void at(long atMillis, Runnable step) {
        mEvents.add(new Event(atMillis, mSequence++, step));
    }

    int inFlight(UpstreamId upstream) {
        return mInFlight.getOrDefault(upstream.value(), 0);
    }
}
