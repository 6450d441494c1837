package org.magnoliapick.internal.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.internal.share.ShareFixture.LOCAL_DOMAIN;
import static org.magnoliapick.internal.share.ShareFixture.config;
import static org.magnoliapick.internal.share.ShareFixture.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.member.MemberState;

/** The dispatching policy under the faults that it is meant for. Costs are in milliseconds. */
final class DispatcherNodeTest {
    private static final FailureDomain FAR = new FailureDomain("seeb");
    private static final int SLOTS = 8;
    private static final double COST = 400;

    /** Half as much again is the largest cost that the fake upstreams draw. */
    private static final double LARGEST_COST = COST * 1.5;

    private final FakeFleet mFleet = new FakeFleet(42);

    @BeforeEach
    void configure() {
        Map<String, Double> weights = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            weights.put("w" + i, 1.0);
        }
        mFleet.configure(config(SLOTS, weights));
    }

    private void startOneDomain() {
        mFleet.setUpstreams(
                upstream("u1", LOCAL_DOMAIN, MemberState.LIVE), upstream("u2", LOCAL_DOMAIN, MemberState.LIVE));
        for (String router : new String[] {"r1", "r2", "r3"}) {
            mFleet.start(router, LOCAL_DOMAIN);
        }
        mFleet.publishView();
    }

    private void startTwoDomains() {
        mFleet.setUpstreams(
                upstream("u1", LOCAL_DOMAIN, MemberState.LIVE), upstream("u2", FAR, MemberState.LIVE));
        mFleet.start("r1", LOCAL_DOMAIN);
        mFleet.start("r2", LOCAL_DOMAIN);
        mFleet.start("r3", FAR);
        mFleet.start("r4", FAR);
        mFleet.publishView();
    }

    /** Five workspaces wait at one instance and one at another: as uneven as it gets. */
    private void backlogUnevenly() {
        for (int i = 0; i < 5; i++) {
            mFleet.keepBacklogged("r1", "w" + i, 20, COST);
        }
        mFleet.keepBacklogged("r3", "w5", 20, COST);
    }

    private String dispatcher() {
        PoolRouting routing = new PoolRouting(ShareFixture.settings("r1"));
        routing.setView(mFleet.view());
        PoolId pool = new PoolId(LOCAL_DOMAIN, ShareFixture.MODEL);
        return routing.dispatcher(pool).map(InstanceId::value).orElseThrow();
    }

    /** Returns the stated bound: twice the largest cost and the work in flight in the pools. */
    private static double bound(int slots) {
        return 2 * (LARGEST_COST + slots * LARGEST_COST);
    }

    private double idealService(long millis, int slots) {
        return (double) millis * slots;
    }

    @Test
    void sharesEvenlyAndKeepsEverySlotBusy() {
        startOneDomain();
        backlogUnevenly();
        mFleet.runUntil(30_000);
        assertThat(mFleet.serviceGap()).isLessThan(bound(2 * SLOTS));
        assertThat(mFleet.totalService()).isGreaterThan(0.97 * idealService(30_000, 2 * SLOTS));
        assertThat(mFleet.mMaxInFlight.values()).allMatch(most -> most <= SLOTS);
    }

    @Test
    void sharesEvenlyAcrossDomains() {
        startTwoDomains();
        backlogUnevenly();
        mFleet.runUntil(30_000);
        assertThat(mFleet.serviceGap()).isLessThan(bound(2 * SLOTS));
        assertThat(mFleet.totalService()).isGreaterThan(0.97 * idealService(30_000, 2 * SLOTS));
    }

    @Test
    void sharesByWeight() {
        mFleet.configure(config(SLOTS, Map.of("w0", 1.0, "w1", 3.0)));
        startOneDomain();
        mFleet.keepBacklogged("r1", "w0", 30, COST);
        mFleet.keepBacklogged("r2", "w1", 30, COST);
        mFleet.runUntil(30_000);
        double difference = mFleet.mServiceByWorkspace.get("w1") / 3 - mFleet.mServiceByWorkspace.get("w0");
        assertThat(Math.abs(difference)).isLessThan(bound(2 * SLOTS));
    }

    @Test
    void standsLossRepetitionAndReordering() {
        startOneDomain();
        mFleet.mLossRatio = 0.1;
        mFleet.mDuplicateRatio = 0.2;
        mFleet.mJitterMillis = 20;
        backlogUnevenly();
        mFleet.runUntil(30_000);
        assertThat(mFleet.serviceGap()).isLessThan(bound(2 * SLOTS));
        assertThat(mFleet.mInFlight.values()).allMatch(inside -> inside <= 2 * SLOTS);
    }

    @Test
    void servesOnWhenTheDispatcherIsLost() {
        startOneDomain();
        backlogUnevenly();
        mFleet.runUntil(10_000);
        String lost = dispatcher();
        mFleet.mPartitioned = (from, to) -> from.equals(lost) || to.equals(lost);
        mFleet.runUntil(15_000);
        double before = mFleet.totalService();
        mFleet.runUntil(20_000);
        assertThat(mFleet.totalService() - before).isGreaterThan(0.3 * idealService(5_000, 16));
        mFleet.mPartitioned = (from, to) -> false;
        mFleet.runUntil(25_000);
        double gap = mFleet.serviceGap();
        before = mFleet.totalService();
        mFleet.runUntil(40_000);
        assertThat(mFleet.serviceGap() - gap).isLessThan(bound(2 * SLOTS));
        assertThat(mFleet.totalService() - before).isGreaterThan(0.97 * idealService(15_000, 16));
    }

    @Test
    void aNewDispatcherTakesOverWithoutOverfilling() {
        startOneDomain();
        backlogUnevenly();
        mFleet.runUntil(10_000);
        String leaver = dispatcher();
        mFleet.run(leaver, mFleet.mInstances.get(leaver), mFleet.mInstances.get(leaver).leave(10_000));
        mFleet.mMaxInFlight.clear();
        double before = mFleet.totalService();
        mFleet.runUntil(12_000);
        assertThat(mFleet.totalService() - before).isGreaterThan(0.9 * idealService(2_000, 16));
        assertThat(mFleet.mMaxInFlight.values()).allMatch(most -> most <= 2 * SLOTS);
        mFleet.runUntil(30_000);
        assertThat(mFleet.serviceGap()).isLessThan(bound(2 * SLOTS));
    }

    @Test
    void anInstanceRestartedWithoutMemoryTakesPartAgain() {
        startOneDomain();
        backlogUnevenly();
        mFleet.runUntil(10_000);
        mFleet.kill("r3");
        mFleet.start("r3", LOCAL_DOMAIN);
        mFleet.publishView();
        mFleet.keepBacklogged("r3", "w5", 20, COST);
        mFleet.runUntil(15_000);
        Map<String, Double> before = new HashMap<>(mFleet.mServiceByWorkspace);
        mFleet.runUntil(35_000);
        before.forEach((workspace, units) -> mFleet.mServiceByWorkspace.merge(workspace, -units, Double::sum));
        assertThat(mFleet.serviceGap()).isLessThan(bound(2 * SLOTS));
    }

    @Test
    void aPartitionHealsWithoutAnUnboundedDebt() {
        startTwoDomains();
        backlogUnevenly();
        mFleet.runUntil(5_000);
        Set<String> here = Set.of("r1", "r2");
        mFleet.mPartitioned = (from, to) -> here.contains(from) != here.contains(to);
        mFleet.runUntil(65_000);
        mFleet.mPartitioned = (from, to) -> false;
        mFleet.runUntil(70_000);
        Map<String, Double> before = new HashMap<>(mFleet.mServiceByWorkspace);
        mFleet.runUntil(110_000);
        before.forEach((workspace, units) -> mFleet.mServiceByWorkspace.merge(workspace, -units, Double::sum));
        assertThat(mFleet.serviceGap()).isLessThan(bound(2 * SLOTS));
    }

    @Test
    void aFloodDelaysASmallWorkspaceByOneSlotAtMost() {
        startOneDomain();
        mFleet.keepBacklogged("r1", "w0", 50, COST);
        mFleet.runUntil(10_000);
        mFleet.submit("r3", "w1");
        int started = mFleet.mStartedRequests;
        long startMillis = mFleet.mNowMillis;
        while (!mFleet.mServiceByWorkspace.containsKey("w1")) {
            mFleet.runUntil(mFleet.mNowMillis + 10);
        }
        assertThat(mFleet.mNowMillis - startMillis).isLessThan(3 * (long) LARGEST_COST);
        assertThat(mFleet.mStartedRequests - started).isGreaterThan(0);
    }

    @Test
    void startsWithoutMessagesWhileNothingIsBacklogged() {
        startOneDomain();
        mFleet.keepBacklogged("r1", "w0", 2, COST);
        mFleet.runUntil(5_000);
        int sent = mFleet.mSentMessages;
        int started = mFleet.mStartedRequests;
        mFleet.runUntil(15_000);
        assertThat(mFleet.mStartedRequests - started).isGreaterThan(40);
        assertThat(mFleet.mSentMessages - sent).isLessThan(30);
    }

    @Test
    void aLeavingUpstreamGetsNothingNew() {
        startOneDomain();
        backlogUnevenly();
        mFleet.runUntil(5_000);
        mFleet.setUpstreams(
                upstream("u1", LOCAL_DOMAIN, MemberState.LIVE), upstream("u2", LOCAL_DOMAIN, MemberState.LEAVING));
        mFleet.runUntil(15_000);
        assertThat(mFleet.mLastStartMillis.get("u2")).isLessThanOrEqualTo(5_000);
        assertThat(mFleet.mLastStartMillis.get("u1")).isGreaterThan(14_000);
    }
}
