package org.magnoliapick.internal.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.TargetConfig;
import org.magnoliapick.config.WorkspaceConfig;
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
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareSettings;

/** Creates the members, requests and configurations for the tests of this package. */
final class ShareFixture {
    static final String MODEL = "letters";
    static final FailureDomain LOCAL_DOMAIN = new FailureDomain("ruwi");
    static final long NO_DEADLINE_MILLIS = 1_000_000_000;

    private ShareFixture() {}

    static ShareSettings settings(String self) {
        return ShareSettings.defaults(new InstanceId(self), 1, LOCAL_DOMAIN, 7);
    }

    static RouterMember router(String id, FailureDomain domain) {
        return new RouterMember(new InstanceId(id), 1, domain, "127.0.0.1", 1, MemberState.LIVE);
    }

    static UpstreamMember upstream(String id, FailureDomain domain, MemberState state) {
        return new UpstreamMember(
                new UpstreamId(id), domain, TargetKind.MODEL, Set.of(MODEL), "127.0.0.1", 1, state);
    }

    static FleetView view(List<RouterMember> routers, UpstreamMember... upstreams) {
        return new FleetView(routers, List.of(upstreams));
    }

    static FleetConfig config(int slots, Map<String, Double> weights) {
        Map<WorkspaceId, WorkspaceConfig> workspaces = new HashMap<>();
        weights.forEach(
                (name, weight) -> {
                    WorkspaceId id = new WorkspaceId(name);
                    workspaces.put(
                            id, new WorkspaceConfig(id, "team-" + name, weight, List.of(), 50));
                });
        TargetConfig target = new TargetConfig(MODEL, TargetKind.MODEL, slots, 1_800, 40);
        Map<String, Double> teams = new HashMap<>();
        weights.forEach((name, weight) -> teams.put("team-" + name, weight));
        return new FleetConfig(1, teams, workspaces, Map.of(MODEL, target));
    }

    static QueuedRequest request(String id, String workspace) {
        return request(id, workspace, RequestClass.STANDARD, NO_DEADLINE_MILLIS);
    }

    static QueuedRequest request(
            String id, String workspace, RequestClass requestClass, long deadlineMillis) {
        return new QueuedRequest(
                new RequestId(id),
                new WorkspaceId(workspace),
                MODEL,
                TargetKind.MODEL,
                requestClass,
                OptionalDouble.empty(),
                deadlineMillis,
                List.of(),
                Optional.empty(),
                Set.of());
    }

    static List<ShareAction.Start> starts(List<ShareAction> actions) {
        return ofType(actions, ShareAction.Start.class);
    }

    static List<ShareAction.Refuse> refusals(List<ShareAction> actions) {
        return ofType(actions, ShareAction.Refuse.class);
    }

    static <T> List<T> ofType(List<ShareAction> actions, Class<T> type) {
        List<T> found = new ArrayList<>();
        for (ShareAction action : actions) {
            if (type.isInstance(action)) {
                found.add(type.cast(action));
            }
        }
        return found;
    }
}
