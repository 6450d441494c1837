package org.magnoliapick.bench.capacity;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.share.QueuedRequest;
import org.magnoliapick.share.ShareNode;
import org.magnoliapick.share.SharePolicy;
import org.magnoliapick.share.ShareSettings;

/** An entry instance without duty whose queues are never empty: each step queues and takes back. */
public final class RouterLoad {
    private static final long NOW_MILLIS = 1_000_000;
    private static final long DEADLINE_MILLIS = NOW_MILLIS + 3_600_000;
    private static final String TARGET = "model";
    private static final FailureDomain DOMAIN = new FailureDomain("domain");

    private final ShareNode mNode;
    private final int mWorkspaces;
    private int mNext;

    /** Queues these requests of these workspaces. */
    public RouterLoad(int workspaces, int requests) {
        mWorkspaces = workspaces;
        // The instance is one of two, and asks whichever of them dispatches the pool.
        InstanceId self = new InstanceId("router-1");
        mNode = SharePolicy.DISPATCHER.create(ShareSettings.defaults(self, NOW_MILLIS, DOMAIN, 1));
        mNode.configChanged(FleetConfig.EMPTY, NOW_MILLIS);
        mNode.viewChanged(view(self), NOW_MILLIS);
        for (int i = 0; i < requests; i++) {
            mNode.submit(request(i), NOW_MILLIS);
        }
        mNext = requests;
    }

    /** Queues one more request and takes it back. */
    public long step() {
        QueuedRequest request = request(mNext++);
        int actions = mNode.submit(request, NOW_MILLIS).size();
        return actions + mNode.cancel(request.id(), NOW_MILLIS).size();
    }

    private QueuedRequest request(int number) {
        return new QueuedRequest(
                new RequestId("r" + number),
                new WorkspaceId("workspace-" + number % mWorkspaces),
                TARGET,
                TargetKind.MODEL,
                RequestClass.STANDARD,
                OptionalDouble.empty(),
                DEADLINE_MILLIS,
                List.of(),
                Optional.empty(),
                Set.of());
    }

    private static FleetView view(InstanceId self) {
        InstanceId other = new InstanceId("router-2");
        RouterMember own = new RouterMember(self, 1, DOMAIN, "127.0.0.1", 1, MemberState.LIVE);
        RouterMember peer = new RouterMember(other, 1, DOMAIN, "127.0.0.1", 2, MemberState.LIVE);
        UpstreamMember engine =
                new UpstreamMember(
                        new UpstreamId("engine"),
                        DOMAIN,
                        TargetKind.MODEL,
                        Set.of(TARGET),
                        "127.0.0.1",
                        3,
                        MemberState.LIVE);
        return new FleetView(List.of(own, peer), List.of(engine));
    }
}
