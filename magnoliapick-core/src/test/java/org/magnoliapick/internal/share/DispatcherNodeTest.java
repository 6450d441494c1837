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

/**
 * Tests the dispatcher policy on a simulated fleet, without faults and under message loss,
 * partition, loss of the dispatcher and restarts. Costs are in milliseconds.
 */
final class DispatcherNodeTest {
    private static final FailureDomain REMOTE = new FailureDomain("seeb");
    private static final int SLOTS = 8;
    private static final double COST = 400;

    /** The simulated costs are spread between 0.5 and 1.5 times the given cost. */
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
                upstream("u1", LOCAL_DOMAIN, MemberState.LIVE),
                upstream("u2", LOCAL_DOMAIN, MemberState.LIVE));
        for (String router : new String[] {"r1", "r2", "r3"}) {
            mFleet.start(router, LOCAL_DOMAIN);
        }
        mFleet.publishView();
    }

    private void startTwoDomains() {
        mFleet.setUpstreams(
                upstream("u1", LOCAL_DOMAIN, MemberState.LIVE),
                upstream("u2", REMOTE, MemberState.LIVE));
        mFleet.start("r1", LOCAL_DOMAIN);
        mFleet.start("r2", LOCAL_DOMAIN);
        mFleet.start("r3", REMOTE);
        mFleet.start("r4", REMOTE);
        mFleet.publishView();
    }

    /** Keeps five workspaces backlogged at one instance and one at another. */
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

    /** Returns the allowed gap: twice the sum of the largest cost and the work in flight. */
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
        double difference =
                mFleet.mServiceByWorkspace.get("w1") / 3 - mFleet.mServiceByWorkspace.get("w0");
        assertThat(Math.abs(difference)).isLessThan(bound(2 * SLOTS));
    }

    @Test
    void toleratesLossDuplicationAndReordering() {
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
    void keepsServingWhileTheDispatcherIsUnreachable() {
        startOneDomain();
        backlogUnevenly();
        mFleet.runUntil(10_000);
        String unreachable = dispatcher();
        mFleet.mPartitioned = (from, to) -> from.equals(unreachable) || to.equals(unreachable);
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
    void newDispatcherTakesOverWithoutOverload() {
        startOneDomain();
        backlogUnevenly();
        mFleet.runUntil(10_000);
        String leaving = dispatcher();
        mFleet.run(
                leaving,
                mFleet.mInstances.get(leaving),
                mFleet.mInstances.get(leaving).leave(10_000));
        mFleet.mMaxInFlight.clear();
        double before = mFleet.totalService();
        mFleet.runUntil(12_000);
        assertThat(mFleet.totalService() - before).isGreaterThan(0.9 * idealService(2_000, 16));
        assertThat(mFleet.mMaxInFlight.values()).allMatch(most -> most <= 2 * SLOTS);
        mFleet.runUntil(30_000);
        assertThat(mFleet.serviceGap()).isLessThan(bound(2 * SLOTS));
    }

    @Test
    void restartedInstanceReceivesItsShareAgain() {
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
        before.forEach(
                (workspace, units) ->
                        mFleet.mServiceByWorkspace.merge(workspace, -units, Double::sum));
        assertThat(mFleet.serviceGap()).isLessThan(bound(2 * SLOTS));
    }

    @Test
    void sharesEvenlyAgainAfterAPartition() {
        startTwoDomains();
        backlogUnevenly();
        mFleet.runUntil(5_000);
        Set<String> localSide = Set.of("r1", "r2");
        mFleet.mPartitioned = (from, to) -> localSide.contains(from) != localSide.contains(to);
        mFleet.runUntil(65_000);
        mFleet.mPartitioned = (from, to) -> false;
        mFleet.runUntil(70_000);
        Map<String, Double> before = new HashMap<>(mFleet.mServiceByWorkspace);
        mFleet.runUntil(110_000);
        before.forEach(
                (workspace, units) ->
                        mFleet.mServiceByWorkspace.merge(workspace, -units, Double::sum));
        assertThat(mFleet.serviceGap()).isLessThan(bound(2 * SLOTS));
    }

    @Test
    void servesASmallWorkspacePromptlyDuringAFlood() {
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
    void sendsFewMessagesWhileNothingIsBacklogged() {
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
    void startsNothingOnALeavingUpstream() {
        startOneDomain();
        backlogUnevenly();
        mFleet.runUntil(5_000);
        mFleet.setUpstreams(
                upstream("u1", LOCAL_DOMAIN, MemberState.LIVE),
                upstream("u2", LOCAL_DOMAIN, MemberState.LEAVING));
        mFleet.runUntil(15_000);
        assertThat(mFleet.mLastStartMillis.get("u2")).isLessThanOrEqualTo(5_000);
        assertThat(mFleet.mLastStartMillis.get("u1")).isGreaterThan(14_000);
    }
}
