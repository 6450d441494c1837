package org.magnoliapick.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.LoadReport;
import org.magnoliapick.share.QueuedRequest;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareMessage;

/**
 * Local queues over a static split of each upstream's slots, ordered by attained service of the
 * whole fleet, which the instances tell each other once a second.
 */
final class GossipNode extends AbstractNode {
    /** What each instance has told last; stands for the content of the messages. */
    static final class Board {
        private final Map<InstanceId, Map<String, Double>> mServed = new HashMap<>();
    }

    private record Started(QueuedRequest request, UpstreamId upstream) {}

    private static final long GOSSIP_MILLIS = 1_000;

    private final InstanceId mSelf;
    private final Board mBoard;
    private final Map<String, Double> mOwn = new HashMap<>();
    private final Map<InstanceId, Map<String, Double>> mOthers = new TreeMap<>();
    private final Map<String, Map<String, List<QueuedRequest>>> mWaiting = new TreeMap<>();
    private final Map<RequestId, Started> mStarted = new HashMap<>();
    private final Map<UpstreamId, Integer> mInFlight = new HashMap<>();
    private final Map<UpstreamId, Integer> mSlots = new HashMap<>();
    private FleetView mView = FleetView.EMPTY;
    private FleetConfig mConfig = FleetConfig.EMPTY;
    private long mNextGossipMillis;
    private long mSequence;

    GossipNode(InstanceId self, Board board) {
        mSelf = self;
        mBoard = board;
    }

    @Override
    public List<ShareAction> submit(QueuedRequest request, long nowMillis) {
        List<QueuedRequest> queue =
                mWaiting.computeIfAbsent(request.target(), t -> new TreeMap<>())
                        .computeIfAbsent(request.workspace().value(), w -> new ArrayList<>());
        queue.add(request);
        // The sort is stable, so the order of arrival holds inside a class.
        queue.sort(Comparator.comparing(QueuedRequest::requestClass));
        return assign(request.target());
    }

    @Override
    public List<ShareAction> cancel(RequestId request, long nowMillis) {
        mWaiting.values()
                .forEach(
                        queues ->
                                queues.values()
                                        .forEach(q -> q.removeIf(r -> r.id().equals(request))));
        return List.of();
    }

    @Override
    public List<ShareAction> finish(
            RequestId request, AttemptOutcome end, double usedUnits, long nowMillis) {
        Started started = mStarted.remove(request);
        if (started == null) {
            return List.of();
        }
        mInFlight.merge(started.upstream(), -1, Integer::sum);
        double weight = Weights.of(mConfig, started.request().workspace());
        mOwn.merge(keyOf(started.request()), usedUnits / weight, Double::sum);
        return assign(started.request().target());
    }

    @Override
    public List<ShareAction> receive(
            InstanceId from, long incarnation, ShareMessage message, long nowMillis) {
        mOthers.put(from, mBoard.mServed.getOrDefault(from, Map.of()));
        return List.of();
    }

    @Override
    public List<ShareAction> viewChanged(FleetView view, long nowMillis) {
        mView = view;
        return List.of();
    }

    @Override
    public List<ShareAction> configChanged(FleetConfig config, long nowMillis) {
        mConfig = config;
        return List.of();
    }

    @Override
    public List<ShareAction> loadReported(UpstreamId upstream, LoadReport report, long nowMillis) {
        mSlots.put(upstream, report.maxRunning());
        return List.of();
    }

    @Override
    public List<ShareAction> tick(long nowMillis) {
        List<ShareAction> actions = new ArrayList<>();
        mWaiting.keySet().forEach(target -> actions.addAll(assign(target)));
        if (nowMillis >= mNextGossipMillis) {
            mNextGossipMillis = nowMillis + GOSSIP_MILLIS;
            mBoard.mServed.put(mSelf, Map.copyOf(mOwn));
            ShareMessage message = new ShareMessage.Heartbeat(mSequence++);
            for (RouterMember router : mView.routers()) {
                if (!router.id().equals(mSelf) && router.state().takesNewWork()) {
                    actions.add(new ShareAction.Send(router.id(), message));
                }
            }
        }
        return actions;
    }

    private List<ShareAction> assign(String target) {
        List<ShareAction> actions = new ArrayList<>();
        for (UpstreamMember upstream : mView.upstreams()) {
            boolean fits = upstream.state().takesNewWork() && upstream.targets().contains(target);
            while (fits && freeSlots(upstream) > 0) {
                QueuedRequest next = takeLeastServed(target);
                if (next == null) {
                    return actions;
                }
                mStarted.put(next.id(), new Started(next, upstream.id()));
                mInFlight.merge(upstream.id(), 1, Integer::sum);
                actions.add(new ShareAction.Start(next.id(), upstream.id()));
            }
        }
        return actions;
    }

    private QueuedRequest takeLeastServed(String target) {
        List<QueuedRequest> best = null;
        double least = Double.POSITIVE_INFINITY;
        for (List<QueuedRequest> queue : mWaiting.getOrDefault(target, Map.of()).values()) {
            if (!queue.isEmpty() && attained(keyOf(queue.get(0))) < least) {
                least = attained(keyOf(queue.get(0)));
                best = queue;
            }
        }
        return best == null ? null : best.remove(0);
    }

    private double attained(String key) {
        double attained = mOwn.getOrDefault(key, 0.0);
        for (Map<String, Double> other : mOthers.values()) {
            attained += other.getOrDefault(key, 0.0);
        }
        return attained;
    }

    private int freeSlots(UpstreamMember upstream) {
        List<RouterMember> live =
                mView.routers().stream().filter(r -> r.state().takesNewWork()).toList();
        int rank = 0;
        while (rank < live.size() && !live.get(rank).id().equals(mSelf)) {
            rank++;
        }
        int slots = mSlots.getOrDefault(upstream.id(), 0);
        int turn = Math.floorMod(rank + upstream.id().value().hashCode(), live.size());
        int part = slots / live.size() + (turn < slots % live.size() ? 1 : 0);
        return part - mInFlight.getOrDefault(upstream.id(), 0);
    }

    private static String keyOf(QueuedRequest request) {
        return request.target() + "/" + request.workspace();
    }
}
