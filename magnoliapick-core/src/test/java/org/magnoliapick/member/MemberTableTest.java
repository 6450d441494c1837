package org.magnoliapick.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;

final class MemberTableTest {
    private static final FailureDomain DOMAIN = new FailureDomain("fukuoka-a");
    private static final InstanceId PEER = new InstanceId("r2");
    private static final RouterMember SELF = router("r1", MemberState.LIVE);

    private final MemberTable mTable = new MemberTable(SELF, 0);

    @Example
    void emptyOrUnreadableListChangesNothing() {
        list(0, upstream(MemberState.LIVE));

        mTable.applyList(List.of(), List.of(), 100_000);
        assertThat(upstreamState(150_000)).isEqualTo(MemberState.LIVE);
        mTable.listUnreadable(200_000);

        assertThat(upstreamState(200_000)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void absenceDoesNotGrowWhileTheListIsUnreadable() {
        list(0, upstream(MemberState.LIVE));
        mTable.applyList(List.of(SELF), List.of(), 1_000);
        mTable.listUnreadable(100_000);

        assertThat(mTable.view(100_000).upstreams()).hasSize(1);
        mTable.applyList(List.of(SELF), List.of(), 101_000);
        assertThat(mTable.view(101_000).upstreams()).hasSize(1);
    }

    @Example
    void leavingUpstreamStaysLeavingWhenALaggingListShowsItLive() {
        list(0, upstream(MemberState.LIVE));
        list(1_000, upstream(MemberState.LEAVING));
        assertThat(upstreamState(1_000)).isEqualTo(MemberState.LEAVING);

        list(2_000, upstream(MemberState.LIVE));

        assertThat(upstreamState(2_000)).isEqualTo(MemberState.LEAVING);
    }

    @Example
    void leavingUpstreamReturnsOnceTheListHasShownItLiveForLongerThanTheListLags() {
        list(0, upstream(MemberState.LEAVING));
        list(1_000, upstream(MemberState.LIVE));

        list(1_000 + MemberTable.UPSTREAM_RETURN_MILLIS, upstream(MemberState.LIVE));

        assertThat(upstreamState(60_000)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void upstreamMissingFromTheListIsSuspectedAndLaterRemoved() {
        list(0, upstream(MemberState.LIVE));
        mTable.applyList(List.of(SELF), List.of(), 1_000);
        assertThat(upstreamState(1_000)).isEqualTo(MemberState.LIVE);
        assertThat(upstreamState(1_001 + MemberTable.MISSING_GRACE_MILLIS))
                .isEqualTo(MemberState.SUSPECT);

        long later = 1_001 + MemberTable.FORGET_AFTER_MILLIS;
        mTable.applyList(List.of(SELF), List.of(), later);

        assertThat(mTable.view(later).upstreams()).isEmpty();
    }

    @Example
    void routerWithoutHeartbeatsIsSuspectedAndReturnsWithItsNextHeartbeat() {
        mTable.applyList(List.of(SELF, router("r2", MemberState.LIVE)), List.of(), 0);
        mTable.heartbeatReceived(PEER, 5, false, 0);
        assertThat(peerState(MemberTable.SUSPECT_AFTER_MILLIS)).isEqualTo(MemberState.LIVE);
        assertThat(peerState(MemberTable.SUSPECT_AFTER_MILLIS + 1)).isEqualTo(MemberState.SUSPECT);

        mTable.heartbeatReceived(PEER, 5, false, 4_000);

        assertThat(peerState(4_000)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void leavingIsFinalWithinAnIncarnation() {
        mTable.applyList(List.of(SELF, router("r2", MemberState.LIVE)), List.of(), 0);
        mTable.heartbeatReceived(PEER, 5, true, 0);
        mTable.heartbeatReceived(PEER, 5, false, 10);
        assertThat(peerState(10)).isEqualTo(MemberState.LEAVING);

        mTable.heartbeatReceived(PEER, 6, false, 20);

        assertThat(peerState(20)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void heartbeatOfAnOlderIncarnationIsIgnored() {
        mTable.applyList(List.of(SELF, router("r2", MemberState.LIVE)), List.of(), 0);
        mTable.heartbeatReceived(PEER, 6, false, 0);

        mTable.heartbeatReceived(PEER, 5, true, 3_500);

        assertThat(peerState(3_500)).isEqualTo(MemberState.SUSPECT);
    }

    @Example
    void routerMissingFromTheListIsKeptWhileItSendsHeartbeats() {
        mTable.applyList(List.of(SELF, router("r2", MemberState.LIVE)), List.of(), 0);
        mTable.applyList(List.of(SELF), List.of(), 1_000);
        mTable.heartbeatReceived(PEER, 5, false, 70_000);

        mTable.applyList(List.of(SELF), List.of(), 70_000);

        assertThat(peerState(70_000)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void ownInstanceIsNeverSuspected() {
        FleetView view = mTable.view(1_000_000);
        assertThat(view.routers()).extracting(RouterMember::state).containsOnly(MemberState.LIVE);

        mTable.markSelfLeaving(1_000_001);

        assertThat(mTable.view(1_000_001).routers())
                .extracting(RouterMember::state)
                .containsOnly(MemberState.LEAVING);
    }

    @Property(seed = "20261204", tries = 300)
    void heartbeatsGiveTheSameStateInAnyOrder(
            @ForAll("heartbeats") List<Heartbeat> heartbeats, @ForAll long seed) {
        List<Heartbeat> shuffled = new ArrayList<>(heartbeats);
        Collections.shuffle(shuffled, new Random(seed));
        shuffled.addAll(heartbeats);

        assertThat(stateAfter(shuffled)).isEqualTo(stateAfter(heartbeats));
    }

    @Provide
    Arbitrary<List<Heartbeat>> heartbeats() {
        return Combinators.combine(Arbitraries.longs().between(1, 3), Arbitraries.of(true, false))
                .as(Heartbeat::new)
                .list()
                .ofMaxSize(8);
    }

    private static RouterMember stateAfter(List<Heartbeat> heartbeats) {
        MemberTable table = new MemberTable(SELF, 0);
        table.applyList(List.of(SELF, router("r2", MemberState.LIVE)), List.of(), 0);
        heartbeats.forEach(
                each -> table.heartbeatReceived(PEER, each.incarnation(), each.leaving(), 10));
        return table.view(10).routers().get(1);
    }

    private record Heartbeat(long incarnation, boolean leaving) {}

    private void list(long nowMillis, UpstreamMember upstream) {
        mTable.applyList(List.of(SELF), List.of(upstream), nowMillis);
    }

    private MemberState upstreamState(long nowMillis) {
        return mTable.view(nowMillis).upstreams().get(0).state();
    }

    @Example
    void routerOfAnotherFailureDomainIsNotSuspectedWithoutHeartbeats() {
        FailureDomain other = new FailureDomain("kumamoto-b");
        RouterMember remote = new RouterMember(PEER, 0, other, "127.0.0.1", 1, MemberState.LIVE);
        mTable.applyList(List.of(SELF, remote), List.of(), 0);
        mTable.heartbeatReceived(PEER, 5, false, 0);

        assertThat(peerState(100 * MemberTable.SUSPECT_AFTER_MILLIS)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void routerIsSuspectedAfterThreeHeartbeatIntervalsInALargeFailureDomain() {
        List<RouterMember> routers = new ArrayList<>(List.of(SELF));
        for (int i = 2; i <= 90; i++) {
            routers.add(router("r" + i, MemberState.LIVE));
        }
        mTable.applyList(routers, List.of(), 0);
        long threeHeartbeats = 3 * Heartbeats.intervalMillis(89);

        assertThat(peerState(threeHeartbeats)).isEqualTo(MemberState.LIVE);
        assertThat(peerState(threeHeartbeats + 1)).isEqualTo(MemberState.SUSPECT);
    }

    private MemberState peerState(long nowMillis) {
        return mTable.view(nowMillis).routers().get(1).state();
    }

    private static RouterMember router(String name, MemberState state) {
        return new RouterMember(new InstanceId(name), 0, DOMAIN, "127.0.0.1", 18_600, state);
    }

    private static UpstreamMember upstream(MemberState state) {
        return new UpstreamMember(
                new UpstreamId("engine-1"),
                DOMAIN,
                TargetKind.MODEL,
                Set.of("gift-writer"),
                "127.0.0.1",
                18_200,
                state);
    }
}
