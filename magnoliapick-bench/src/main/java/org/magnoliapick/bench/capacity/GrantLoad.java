package org.magnoliapick.bench.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.TargetConfig;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.share.LoadReport;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareMessage;
import org.magnoliapick.share.ShareNode;
import org.magnoliapick.share.SharePolicy;
import org.magnoliapick.share.ShareSettings;

/**
 * One dispatcher with all slots taken, and the entry instances that use it. Each step reports the
 * end of one request, so that the dispatcher decides who gets the freed slot.
 */
public final class GrantLoad {
    private static final String TARGET = "model";
    private static final int SLOTS = 16;
    private static final int INSTANCES_OF_A_WORKSPACE = 3;
    private static final long START_MILLIS = 1_000_000;
    private static final double COST_UNITS = 400;
    private static final long TOKEN_GAP_MILLIS = 30;
    private static final FailureDomain DOMAIN = new FailureDomain("domain");
    private static final PoolId POOL = new PoolId(DOMAIN, TARGET);

    /** What one entry instance tells the dispatcher. */
    private static final class Client {
        private final InstanceId mId;
        private final List<WorkspaceId> mWorkspaces = new ArrayList<>();
        private final Map<WorkspaceId, Double> mUsedUnits = new HashMap<>();
        private final Map<WorkspaceId, Integer> mRunning = new HashMap<>();
        private final Map<UpstreamId, Integer> mInFlight = new TreeMap<>();
        private final Set<UpstreamId> mChangedUpstreams = new TreeSet<>();
        private final Set<WorkspaceId> mChangedWorkspaces = new TreeSet<>();
        private long mSequence;
        private long mHeardSequence;

        private Client(InstanceId id) {
            mId = id;
        }
    }

    private record Running(Client client, WorkspaceId workspace, UpstreamId upstream) {}

    private final int mBacklogged;
    private final ShareNode mNode;
    private final List<Client> mClients = new ArrayList<>();
    private final Map<InstanceId, Client> mById = new HashMap<>();
    private final ArrayDeque<Running> mRunning = new ArrayDeque<>();
    private long mGrants;

    /** Prepares a dispatcher with these sizes, and fills its slots. */
    public GrantLoad(int workspaces, int backlogged, int instances, int upstreams) {
        mBacklogged = backlogged;
        InstanceId self = new InstanceId("router-0");
        mNode =
                SharePolicy.DISPATCHER.create(
                        ShareSettings.defaults(self, START_MILLIS, DOMAIN, 1));
        mNode.configChanged(config(), START_MILLIS);
        mNode.viewChanged(view(instances, upstreams), START_MILLIS);
        for (int i = 0; i < upstreams; i++) {
            // The dispatcher opens all slots only once an upstream has told how many it has.
            LoadReport report = new LoadReport(START_MILLIS, 0, 0, SLOTS, 0);
            mNode.loadReported(new UpstreamId("engine-" + i), report, START_MILLIS);
        }
        // The node itself is no client, so that each grant is a message that can be seen.
        for (int i = 1; i <= instances; i++) {
            Client client = new Client(new InstanceId("router-" + i));
            mClients.add(client);
            mById.put(client.mId, client);
        }
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < workspaces; i++) {
            int first = random.nextInt(instances);
            for (int j = 0; j < INSTANCES_OF_A_WORKSPACE; j++) {
                Client client = mClients.get((first + j) % instances);
                client.mWorkspaces.add(new WorkspaceId("workspace-" + i));
            }
        }
        for (Client client : mClients) {
            take(mNode.receive(client.mId, 1, wholeDemand(client), START_MILLIS));
        }
    }

    /** Reports the end of the request that has run longest; returns the grants that followed. */
    public long step() {
        Running ended = mRunning.poll();
        Client client = ended.client();
        client.mUsedUnits.merge(ended.workspace(), COST_UNITS, Double::sum);
        client.mRunning.merge(ended.workspace(), -1, Integer::sum);
        client.mInFlight.merge(ended.upstream(), -1, Integer::sum);
        client.mChangedWorkspaces.add(ended.workspace());
        client.mChangedUpstreams.add(ended.upstream());
        ShareMessage demand = changedDemand(client);
        long before = mGrants;
        take(mNode.receive(client.mId, 1, demand, START_MILLIS));
        return mGrants - before;
    }

    /** Returns the whole demand of the first entry instance. */
    public ShareMessage firstWholeDemand() {
        return wholeDemand(mClients.get(0));
    }

    /** Returns the requests that run. */
    public int running() {
        return mRunning.size();
    }

    private void take(List<ShareAction> actions) {
        for (ShareAction action : actions) {
            if (action instanceof ShareAction.Send send
                    && send.message() instanceof ShareMessage.Grants grants) {
                Client client = mById.get(send.to());
                client.mHeardSequence = grants.sequence();
                grants.grants().forEach(grant -> start(client, grant));
            }
        }
    }

    private void start(Client client, ShareMessage.Grant grant) {
        mGrants++;
        client.mRunning.merge(grant.workspace(), 1, Integer::sum);
        client.mInFlight.merge(grant.upstream(), 1, Integer::sum);
        client.mChangedWorkspaces.add(grant.workspace());
        client.mChangedUpstreams.add(grant.upstream());
        mRunning.add(new Running(client, grant.workspace(), grant.upstream()));
    }

    private ShareMessage wholeDemand(Client client) {
        List<ShareMessage.WorkspaceDemand> demands = new ArrayList<>();
        for (WorkspaceId workspace : client.mWorkspaces) {
            demands.add(demandOf(client, workspace));
        }
        return demand(client, true, demands, client.mInFlight.keySet());
    }

    private ShareMessage changedDemand(Client client) {
        List<ShareMessage.WorkspaceDemand> demands = new ArrayList<>();
        for (WorkspaceId workspace : client.mChangedWorkspaces) {
            demands.add(demandOf(client, workspace));
        }
        ShareMessage demand = demand(client, false, demands, client.mChangedUpstreams);
        client.mChangedWorkspaces.clear();
        client.mChangedUpstreams.clear();
        return demand;
    }

    private ShareMessage demand(
            Client client,
            boolean whole,
            List<ShareMessage.WorkspaceDemand> workspaces,
            Set<UpstreamId> upstreams) {
        List<ShareMessage.UpstreamUse> uses = new ArrayList<>();
        for (UpstreamId id : upstreams) {
            uses.add(new ShareMessage.UpstreamUse(id, client.mInFlight.get(id), TOKEN_GAP_MILLIS));
        }
        return new ShareMessage.Demand(
                POOL,
                ++client.mSequence,
                client.mHeardSequence,
                whole,
                workspaces,
                uses,
                List.of());
    }

    private ShareMessage.WorkspaceDemand demandOf(Client client, WorkspaceId workspace) {
        int number = Integer.parseInt(workspace.value().substring("workspace-".length()));
        int waiting = number < mBacklogged ? 1_000 : 0;
        return new ShareMessage.WorkspaceDemand(
                workspace,
                TARGET,
                waiting,
                START_MILLIS,
                COST_UNITS,
                client.mUsedUnits.getOrDefault(workspace, 1.0),
                client.mRunning.getOrDefault(workspace, 0) * COST_UNITS,
                0,
                Optional.empty());
    }

    private static FleetConfig config() {
        TargetConfig target = new TargetConfig(TARGET, TargetKind.MODEL, SLOTS, 1_800, 40);
        return new FleetConfig(0, Map.of(), Map.of(), Map.of(TARGET, target));
    }

    private static FleetView view(int instances, int upstreams) {
        List<RouterMember> routers = new ArrayList<>();
        for (int i = 0; i <= instances; i++) {
            InstanceId id = new InstanceId("router-" + i);
            routers.add(new RouterMember(id, 1, DOMAIN, "127.0.0.1", 1, MemberState.LIVE));
        }
        List<UpstreamMember> engines = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            engines.add(
                    new UpstreamMember(
                            new UpstreamId("engine-" + i),
                            DOMAIN,
                            TargetKind.MODEL,
                            Set.of(TARGET),
                            "127.0.0.1",
                            1,
                            MemberState.LIVE));
        }
        return new FleetView(routers, engines);
    }
}
