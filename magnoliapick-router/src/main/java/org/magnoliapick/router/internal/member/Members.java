package org.magnoliapick.router.internal.member;

import java.util.List;
import java.util.Set;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.ports.ListedMember;

/** Translates entries of the platform's list. */
final class Members {
    private Members() {}

    static RouterMember router(ListedMember member) {
        return new RouterMember(
                new InstanceId(member.name()),
                0,
                new FailureDomain(member.domain()),
                member.host(),
                member.peerPort(),
                stateOf(member));
    }

    static UpstreamMember upstream(ListedMember member) {
        boolean engine = member.role() == ListedMember.Role.MODEL_ENGINE;
        return new UpstreamMember(
                new UpstreamId(member.name()),
                new FailureDomain(member.domain()),
                engine ? TargetKind.MODEL : TargetKind.SERVICE,
                member.targets(),
                member.host(),
                member.port(),
                stateOf(member));
    }

    /** Returns the view with the named upstreams leaving. */
    static FleetView draining(FleetView view, Set<String> upstreams) {
        List<UpstreamMember> members =
                view.upstreams().stream()
                        .map(
                                member ->
                                        upstreams.contains(member.id().value())
                                                ? left(member)
                                                : member)
                        .toList();
        return new FleetView(view.routers(), members);
    }

    private static UpstreamMember left(UpstreamMember member) {
        return new UpstreamMember(
                member.id(),
                member.domain(),
                member.kind(),
                member.targets(),
                member.host(),
                member.port(),
                MemberState.LEAVING);
    }

    private static MemberState stateOf(ListedMember member) {
        return member.leaving() ? MemberState.LEAVING : MemberState.LIVE;
    }
}
