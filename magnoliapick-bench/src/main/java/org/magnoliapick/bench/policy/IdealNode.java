package org.magnoliapick.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.share.AttemptOutcome;
import org.magnoliapick.share.QueuedRequest;
import org.magnoliapick.share.ShareAction;

/**
 * One queue for the whole fleet that knows true costs, true slots and who reaches whom, at no
 * delay. Each free slot goes to the backlogged workspace with the least normalised service, and the
 * true cost is charged at the start.
 */
final class IdealNode extends AbstractNode {
    private record Waiting(QueuedRequest request, long rankMillis, long sequence) {}

    private record Started(QueuedRequest request, UpstreamId upstream, double cost) {}

    private static final Comparator<Waiting> ORDER =
            Comparator.comparingLong(Waiting::rankMillis).thenComparingLong(Waiting::sequence);

    /** The state of one workspace at one target. */
    private static final class Account {
        private final List<Waiting> mWaiting = new ArrayList<>();
        private double mNormalisedService;
    }

    private final Oracle mOracle;
    private final Map<String, Map<WorkspaceId, Account>> mAccounts = new TreeMap<>();
    private final Map<RequestId, Started> mStarted = new LinkedHashMap<>();
    private final Map<UpstreamId, Integer> mInFlight = new LinkedHashMap<>();
    private List<UpstreamMember> mUpstreams = List.of();
    private FleetConfig mConfig = FleetConfig.EMPTY;
    private long mNextSequence;

    IdealNode(Oracle oracle) {
        mOracle = oracle;
    }

    @Override
    public List<ShareAction> submit(QueuedRequest request, long nowMillis) {
        Account account = accountOf(request);
        if (account.mWaiting.isEmpty()) {
            lift(request.target(), account);
        }
        long rankMillis = nowMillis + request.requestClass().rankDelayMillis();
        account.mWaiting.add(new Waiting(request, rankMillis, mNextSequence++));
        account.mWaiting.sort(ORDER);
        return assign(request.target());
    }

    @Override
    public List<ShareAction> cancel(RequestId request, long nowMillis) {
        for (Map<WorkspaceId, Account> accounts : mAccounts.values()) {
            for (Account account : accounts.values()) {
                account.mWaiting.removeIf(waiting -> waiting.request().id().equals(request));
            }
        }
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
        Account account = accountOf(started.request());
        account.mNormalisedService +=
                (usedUnits - started.cost()) / weightOf(started.request().workspace());
        return assign(started.request().target());
    }

    @Override
    public List<ShareAction> viewChanged(FleetView view, long nowMillis) {
        mUpstreams = view.upstreams();
        return assignAll();
    }

    @Override
    public List<ShareAction> configChanged(FleetConfig config, long nowMillis) {
        mConfig = config;
        return List.of();
    }

    @Override
    public List<ShareAction> tick(long nowMillis) {
        return assignAll();
    }

    private List<ShareAction> assignAll() {
        List<ShareAction> actions = new ArrayList<>();
        for (String target : mAccounts.keySet()) {
            actions.addAll(assign(target));
        }
        return actions;
    }

    private List<ShareAction> assign(String target) {
        List<ShareAction> actions = new ArrayList<>();
        List<UpstreamMember> free = new ArrayList<>();
        for (UpstreamMember upstream : mUpstreams) {
            if (upstream.targets().contains(target) && freeSlots(upstream.id()) > 0) {
                free.add(upstream);
            }
        }
        while (!free.isEmpty() && startOne(target, free, actions)) {
            free.removeIf(upstream -> freeSlots(upstream.id()) <= 0);
        }
        return actions;
    }

    private boolean startOne(String target, List<UpstreamMember> free, List<ShareAction> actions) {
        List<Account> byService = new ArrayList<>();
        for (Account account : mAccounts.get(target).values()) {
            if (!account.mWaiting.isEmpty()) {
                byService.add(account);
            }
        }
        byService.sort(Comparator.comparingDouble(account -> account.mNormalisedService));
        free.sort(
                Comparator.comparingInt((UpstreamMember u) -> -freeSlots(u.id()))
                        .thenComparing(UpstreamMember::id));
        for (Account account : byService) {
            for (Waiting waiting : account.mWaiting) {
                for (UpstreamMember upstream : free) {
                    if (mOracle.reaches(waiting.request().id(), upstream.id())) {
                        account.mWaiting.remove(waiting);
                        actions.add(start(account, waiting.request(), upstream.id()));
                        return true;
                    }
                }
            }
        }
        return false;
    }

    private ShareAction start(Account account, QueuedRequest request, UpstreamId upstream) {
        double cost = mOracle.cost(request.id());
        account.mNormalisedService += cost / weightOf(request.workspace());
        mStarted.put(request.id(), new Started(request, upstream, cost));
        mInFlight.merge(upstream, 1, Integer::sum);
        return new ShareAction.Start(request.id(), upstream);
    }

    private int freeSlots(UpstreamId upstream) {
        return mOracle.slots(upstream) - mInFlight.getOrDefault(upstream, 0);
    }

    /** Gives a workspace that returns from idle no less service than the least backlogged one. */
    private void lift(String target, Account account) {
        mAccounts.get(target).values().stream()
                .filter(other -> !other.mWaiting.isEmpty())
                .mapToDouble(other -> other.mNormalisedService)
                .min()
                .ifPresent(
                        least ->
                                account.mNormalisedService =
                                        Math.max(account.mNormalisedService, least));
    }

    private Account accountOf(QueuedRequest request) {
        return mAccounts
                .computeIfAbsent(request.target(), t -> new TreeMap<>())
                .computeIfAbsent(request.workspace(), w -> new Account());
    }

    private double weightOf(WorkspaceId id) {
        return Weights.of(mConfig, id);
    }
}
