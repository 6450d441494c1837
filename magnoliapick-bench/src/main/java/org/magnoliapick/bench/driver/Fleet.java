package org.magnoliapick.bench.driver;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliapick.bench.scenario.Load;
import org.magnoliapick.bench.scenario.Scenario;
import org.magnoliapick.bench.scenario.UpstreamGroup;
import org.magnoliapick.bench.scenario.WorkspaceGroup;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.TargetConfig;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;

/** The members, workspaces and configuration of a scenario, and what an instance sees of them. */
final class Fleet {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int FIRST_ROUTER_PORT = 18_600;
    private static final int FIRST_UPSTREAM_PORT = 18_200;

    /** One load of one workspace. */
    record Demand(Flow flow, Load load) {}

    private final Scenario mScenario;
    private final Network mNetwork;
    private final List<RouterSlot> mRouters = new ArrayList<>();
    private final Map<UpstreamId, FakeUpstream> mUpstreams = new LinkedHashMap<>();
    private final List<Flow> mFlows = new ArrayList<>();
    private final List<Demand> mDemands = new ArrayList<>();
    private final Map<WorkspaceId, String> mGroups = new LinkedHashMap<>();
    private final Map<String, Double> mTeamWeights = new LinkedHashMap<>();
    private final Map<WorkspaceId, WorkspaceConfig> mWorkspaces = new LinkedHashMap<>();

    Fleet(
            Scenario scenario,
            Network network,
            EventQueue events,
            FakeUpstream.Listener upstreamListener) {
        mScenario = scenario;
        mNetwork = network;
        scenario.routers().forEach(this::addRouters);
        for (UpstreamGroup group : scenario.upstreams()) {
            for (int i = 0; i < group.count(); i++) {
                UpstreamId id = new UpstreamId(group.name() + "-" + i);
                mUpstreams.put(id, new FakeUpstream(id, group, events, upstreamListener));
            }
        }
        scenario.workspaces().forEach(this::addWorkspaces);
        addFlows();
    }

    List<RouterSlot> routers() {
        return mRouters;
    }

    Map<UpstreamId, FakeUpstream> upstreams() {
        return mUpstreams;
    }

    List<Flow> flows() {
        return mFlows;
    }

    List<Demand> demands() {
        return mDemands;
    }

    FleetConfig config() {
        Map<String, TargetConfig> targets = new LinkedHashMap<>();
        for (UpstreamGroup group : mScenario.upstreams()) {
            targets.put(group.target(), targetConfig(group));
        }
        return new FleetConfig(0, mTeamWeights, mWorkspaces, targets);
    }

    /** Returns what an instance sees: members that it cannot reach are suspect. */
    FleetView viewOf(RouterSlot self) {
        List<RouterMember> routers = new ArrayList<>();
        for (RouterSlot router : mRouters) {
            boolean reached = router.mUp && mNetwork.connects(self.mDomain, router.mDomain);
            MemberState state = reached ? MemberState.LIVE : MemberState.SUSPECT;
            FailureDomain domain = new FailureDomain(router.mDomain);
            int port = FIRST_ROUTER_PORT + router.mIndex;
            routers.add(
                    new RouterMember(
                            router.mId, router.mIncarnation, domain, LOOPBACK, port, state));
        }
        routers.sort(Comparator.comparing(RouterMember::id));
        List<UpstreamMember> upstreams = new ArrayList<>();
        for (FakeUpstream upstream : mUpstreams.values()) {
            upstreams.add(upstreamMember(self, upstream));
        }
        upstreams.sort(Comparator.comparing(UpstreamMember::id));
        return new FleetView(routers, upstreams);
    }

    private UpstreamMember upstreamMember(RouterSlot self, FakeUpstream upstream) {
        UpstreamGroup group = upstream.group();
        boolean reached = upstream.isUp() && mNetwork.connects(self.mDomain, group.domain());
        MemberState state = reached ? MemberState.LIVE : MemberState.SUSPECT;
        return new UpstreamMember(
                upstream.id(),
                new FailureDomain(group.domain()),
                group.kind(),
                Set.of(group.target()),
                LOOPBACK,
                FIRST_UPSTREAM_PORT,
                upstream.isLeaving() ? MemberState.LEAVING : state);
    }

    private TargetConfig targetConfig(UpstreamGroup group) {
        boolean model = group.kind() == TargetKind.MODEL;
        return new TargetConfig(
                group.target(),
                group.kind(),
                mScenario.maxConcurrentPerUpstream(),
                TargetConfig.DEFAULT_FIRST_TOKEN_TARGET_MILLIS,
                model ? TargetConfig.DEFAULT_TOKEN_GAP_TARGET_MILLIS : 0);
    }

    private void addRouters(String domain, int count) {
        for (int i = 0; i < count; i++) {
            InstanceId id = new InstanceId("router-" + domain + "-" + i);
            mRouters.add(new RouterSlot(id, domain, mRouters.size()));
        }
    }

    private void addWorkspaces(WorkspaceGroup group) {
        for (int i = 0; i < group.count(); i++) {
            WorkspaceId id = new WorkspaceId(group.name() + "-" + i);
            boolean ownTeam = group.team() == null;
            String team = ownTeam ? "team-" + id : group.team();
            mGroups.put(id, group.name());
            mTeamWeights.put(team, ownTeam ? group.weight() : FleetConfig.DEFAULT_WEIGHT);
            double weight = ownTeam ? FleetConfig.DEFAULT_WEIGHT : group.weight();
            mWorkspaces.put(
                    id, new WorkspaceConfig(id, team, weight, List.of(), group.maxQueued()));
        }
    }

    private void addFlows() {
        Map<String, Map<WorkspaceId, List<Load>>> loads = new LinkedHashMap<>();
        for (WorkspaceGroup group : mScenario.workspaces()) {
            for (int i = 0; i < group.count(); i++) {
                WorkspaceId id = new WorkspaceId(group.name() + "-" + i);
                for (Load load : group.loads()) {
                    loads.computeIfAbsent(load.target(), t -> new LinkedHashMap<>())
                            .computeIfAbsent(id, w -> new ArrayList<>())
                            .add(load);
                }
            }
        }
        loads.forEach(this::addFlowsOfTarget);
    }

    private void addFlowsOfTarget(String target, Map<WorkspaceId, List<Load>> loads) {
        double sum = loads.keySet().stream().mapToDouble(this::weightOf).sum();
        int targetIndex = mScenario.targets().indexOf(target);
        loads.forEach(
                (id, own) -> {
                    double share = weightOf(id) * loads.size() / sum;
                    Flow flow =
                            new Flow(
                                    mFlows.size(), id, mGroups.get(id), target, targetIndex, share);
                    mFlows.add(flow);
                    own.forEach(load -> mDemands.add(new Demand(flow, load)));
                });
    }

    /** Returns the part of its team's share that falls to a workspace. */
    private double weightOf(WorkspaceId id) {
        WorkspaceConfig own = mWorkspaces.get(id);
        double team =
                mWorkspaces.values().stream()
                        .filter(other -> other.team().equals(own.team()))
                        .mapToDouble(WorkspaceConfig::weight)
                        .sum();
        return mTeamWeights.get(own.team()) * own.weight() / team;
    }
}
