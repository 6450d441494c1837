package org.magnoliapick.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.pool.FleetShare;
import org.magnoliapick.pool.InstanceReport;

/** Simulates a fleet of peer tables; delivers reports between instances that are connected. */
final class PeerTableTest {
    private static final long TICK_MILLIS = 10;
    private static final int DOMAINS = 5;

    private final Map<String, PeerTable> mTables = new HashMap<>();
    private final Map<String, Long> mStarted = new HashMap<>();
    private final Set<String> mDown = new HashSet<>();
    private final Set<String> mCutOff = new HashSet<>();
    private long mNowMillis;
    private long mSequence;
    private int mSent;

    private static String address(int number) {
        return "10.0.0." + number + ":1";
    }

    private static Member member(int number) {
        int milliCores = number % 6 == 0 ? 1_500 : 360;
        return new Member(
                new InstanceId("n" + number),
                new FailureDomain("d" + number % DOMAINS),
                address(number),
                milliCores);
    }

    private void start(int number, List<String> seeds) {
        String address = address(number);
        mTables.put(address, new PeerTable(member(number), seeds, mNowMillis));
        mStarted.put(address, mNowMillis);
        mDown.remove(address);
    }

    private void fleet(int size) {
        List<String> seeds = List.of(address(1), address(2), address(3));
        for (int i = 0; i < size; i++) {
            start(i, seeds);
        }
    }

    private void run(long millis) {
        long endMillis = mNowMillis + millis;
        while (mNowMillis < endMillis) {
            mNowMillis += TICK_MILLIS;
            List<Runnable> arrivals = new ArrayList<>();
            mTables.forEach(
                    (from, table) -> {
                        if (!mDown.contains(from)) {
                            table.reportsDue(mNowMillis)
                                    .forEach(each -> arrivals.add(() -> deliver(from, each)));
                        }
                    });
            arrivals.forEach(Runnable::run);
        }
    }

    private void deliver(String from, PendingReport pending) {
        PeerTable sender = mTables.get(from);
        String to = pending.address();
        mSent++;
        InstanceReport report =
                new InstanceReport(
                        sender.self(),
                        mStarted.get(from),
                        ++mSequence,
                        pending.wantsReply(),
                        sender.declinesDispatcherRole(),
                        List.of(),
                        sender.receivedDigest(to),
                        StorePosition.UNKNOWN,
                        sender.receivedVersions(to),
                        pending.isReply() ? sender.membersToSend(to, mNowMillis) : List.of());
        boolean connected = mCutOff.contains(from) == mCutOff.contains(to);
        if (mTables.containsKey(to) && !mDown.contains(to) && connected) {
            mTables.get(to).acceptReport(report, mNowMillis);
        }
    }

    private Set<InstanceId> dispatchers() {
        return mTables.entrySet().stream()
                .filter(each -> !mDown.contains(each.getKey()))
                .map(each -> each.getValue().dispatcher(mNowMillis))
                .collect(Collectors.toSet());
    }

    private String dispatcherAddress() {
        assertThat(dispatchers()).hasSize(1);
        InstanceId dispatcher = dispatchers().iterator().next();
        return mTables.values().stream()
                .map(PeerTable::self)
                .filter(self -> self.instance().equals(dispatcher))
                .findFirst()
                .orElseThrow()
                .address();
    }

    @Test
    void probesSeedsButNotItselfUntilAnyInstanceResponds() {
        List<String> seeds = List.of("2:1", "1:1");
        PeerTable table =
                new PeerTable(
                        new Member(new InstanceId("self"), new FailureDomain("a"), "1:1", 1),
                        seeds,
                        0);
        assertThat(table.reportsDue(0)).extracting(PendingReport::address).containsExactly("2:1");
        assertThat(table.reportsDue(100)).isEmpty();
        assertThat(table.reportsDue(200)).extracting(PendingReport::address).containsExactly("2:1");
    }

    @Test
    void acceptsOnlyNewerReportsOfAnIncarnation() {
        fleet(2);
        PeerTable table = mTables.get(address(0));
        assertThat(table.acceptReport(report(1, 5, 2), 10)).isTrue();
        assertThat(table.acceptReport(report(1, 5, 1), 11)).isFalse();
        assertThat(table.acceptReport(report(1, 6, 1), 12)).isTrue();
    }

    @Test
    void acceptsReportsAfterARestartWithTheClockSetBack() {
        fleet(2);
        PeerTable table = mTables.get(address(0));
        table.acceptReport(report(1, 5_000, 2), 10);
        assertThat(table.acceptReport(report(1, 1_000, 1), 100)).isFalse();
        assertThat(table.acceptReport(report(1, 1_000, 2), 900)).isTrue();
        assertThat(table.acceptReport(report(1, 1_000, 3), 910)).isTrue();
    }

    private static InstanceReport report(int number, long started, long sequence) {
        return report(number, started, sequence, Map.of());
    }

    private static InstanceReport report(
            int number, long started, long sequence, Map<UpdateSubject, Long> knownVersions) {
        return new InstanceReport(
                member(number),
                started,
                sequence,
                false,
                false,
                List.of(),
                0,
                StorePosition.UNKNOWN,
                knownVersions,
                List.of());
    }

    private static Optional<Long> send(PeerTable from, String to, long nowMillis) {
        return from.exchange(to, UpdateSubject.LEAVING)
                .orElseThrow()
                .toSend(known -> known < 5 ? Optional.of(known) : Optional.empty(), nowMillis);
    }

    @Test
    void sendsUpdatesUntilTheOtherInstanceReportsThatItReceivedThem() {
        PeerTable table = new PeerTable(member(0), List.of(), 0);
        String to = member(1).address();
        assertThat(table.exchange(to, UpdateSubject.LEAVING)).isEmpty();
        table.acceptReport(report(1, 1, 1, Map.of(UpdateSubject.LEAVING, 0L)), 0);
        assertThat(send(table, to, 0)).contains(0L);
        // Sent just now.
        assertThat(send(table, to, 50)).isEmpty();
        assertThat(send(table, to, 100)).contains(0L);
        table.acceptReport(report(1, 1, 2, Map.of(UpdateSubject.LEAVING, 3L)), 200);
        assertThat(send(table, to, 200)).contains(3L);
        table.acceptReport(report(1, 1, 3, Map.of(UpdateSubject.LEAVING, 5L)), 300);
        assertThat(send(table, to, 300)).isEmpty();
        table.exchange(to, UpdateSubject.LEAVING).orElseThrow().received(7);
        assertThat(table.receivedVersions(to)).containsEntry(UpdateSubject.LEAVING, 7L);
        // After its restart everything is sent again in both directions.
        table.acceptReport(report(1, 2, 1, Map.of(UpdateSubject.LEAVING, 0L)), 400);
        assertThat(table.receivedVersions(to)).containsEntry(UpdateSubject.LEAVING, 0L);
        assertThat(send(table, to, 400)).contains(0L);
    }

    /** Guards against the same updates being sent forever to instances of a former build. */
    @Test
    void sendsNothingOnASubjectThatTheOtherInstanceDoesNotKnow() {
        PeerTable table = new PeerTable(member(0), List.of(), 0);
        String to = member(1).address();
        table.acceptReport(report(1, 1, 1, Map.of()), 0);
        assertThat(send(table, to, 0)).isEmpty();
        assertThat(table.exchange(to, UpdateSubject.SUSPECTS).orElseThrow().toSend(Optional::of, 0))
                .contains(0L);
    }

    @Test
    void fleetAgreesOnOneStrongDispatcherWithinASecond() {
        fleet(95);
        run(1_000);
        PeerTable dispatcher = mTables.get(dispatcherAddress());
        assertThat(dispatcher.self().milliCores()).isEqualTo(1_500);
        mTables.values().forEach(each -> assertThat(each.liveCount(mNowMillis)).isEqualTo(94));
    }

    @Test
    void smallFleetAgreesOnOneDispatcher() {
        fleet(7);
        run(1_000);
        assertThat(dispatchers()).hasSize(1);
    }

    /** The number of reports that an instance sends must not grow with the fleet. */
    @Test
    void reportRateOfAnInstanceDoesNotGrowWithTheFleet() {
        double few = sentPerSecond(20);
        double many = sentPerSecond(120);
        assertThat(many).isLessThan(few * 1.1);
    }

    private double sentPerSecond(int size) {
        mTables.clear();
        fleet(size);
        run(3_000);
        mSent = 0;
        run(5_000);
        return mSent / 5.0 / size;
    }

    @Test
    void allInstancesReplaceALostDispatcherByTheSameOneWithinASecond() {
        fleet(40);
        run(2_000);
        String lost = dispatcherAddress();
        mDown.add(lost);
        run(1_000);
        assertThat(dispatcherAddress()).isNotEqualTo(lost);
    }

    @Test
    void remainingInstancesAgreeOnADispatcherWhenAllStrongOnesAreLost() {
        fleet(95);
        run(2_000);
        for (int i = 0; i < 95; i += 6) {
            mDown.add(address(i));
        }
        run(3_500);
        assertThat(mTables.get(dispatcherAddress()).self().milliCores()).isEqualTo(360);
    }

    @Test
    void restartedDispatcherTakesItsRoleBack() {
        fleet(40);
        run(2_000);
        String lost = dispatcherAddress();
        mDown.add(lost);
        run(3_000);
        int number = Integer.parseInt(lost.substring("10.0.0.".length(), lost.indexOf(':')));
        start(number, List.of(address(1), address(2), address(3)));
        run(4_000);
        assertThat(dispatcherAddress()).isEqualTo(lost);
    }

    @Test
    void failureDomainThatIsCutOffHasItsOwnDispatcherUntilItReconnects() {
        fleet(50);
        run(2_000);
        mTables.keySet().stream()
                .filter(each -> mTables.get(each).self().domain().value().equals("d1"))
                .forEach(mCutOff::add);
        run(4_000);
        Set<InstanceId> inside = new HashSet<>();
        Set<InstanceId> outside = new HashSet<>();
        mTables.forEach(
                (address, table) ->
                        (mCutOff.contains(address) ? inside : outside)
                                .add(table.dispatcher(mNowMillis)));
        assertThat(inside).hasSize(1);
        assertThat(outside).hasSize(1).isNotEqualTo(inside);
        mCutOff.clear();
        run(6_000);
        assertThat(dispatchers()).hasSize(1);
    }

    @Test
    void stoppingDispatcherIsReplacedAtOnce() {
        fleet(20);
        run(2_000);
        String stopping = dispatcherAddress();
        mTables.get(stopping).setDeclinesDispatcherRole(true);
        run(250);
        assertThat(dispatcherAddress()).isNotEqualTo(stopping);
    }

    /** Guards against instances that return to an overloaded dispatcher once a second. */
    @Test
    void dispatcherThatDeclinesItsRoleIsReplacedUntilItOffersItAgain() {
        fleet(20);
        run(2_000);
        String declining = dispatcherAddress();
        mTables.get(declining).setDeclinesDispatcherRole(true);
        run(250);
        String next = dispatcherAddress();
        for (int i = 0; i < 1_000; i++) {
            run(TICK_MILLIS);
            assertThat(dispatcherAddress()).isEqualTo(next).isNotEqualTo(declining);
        }
        mTables.get(declining).setDeclinesDispatcherRole(false);
        run(1_500);
        assertThat(dispatcherAddress()).isEqualTo(declining);
    }

    /** Guards against a declined role that outlives the instance's connections. */
    @Test
    void instanceThatDeclinedTheRoleAndIsSilentIsNotWaitedFor() {
        fleet(20);
        run(2_000);
        String declining = dispatcherAddress();
        mTables.get(declining).setDeclinesDispatcherRole(true);
        run(250);
        String next = dispatcherAddress();
        mDown.add(declining);
        run(10_000);
        assertThat(dispatcherAddress()).isEqualTo(next);
    }

    @Test
    void largeFleetHasSeveralDispatchers() {
        fleet(240);
        run(3_000);
        assertThat(dispatchers()).hasSize(2);
    }

    @Test
    void dispatcherDecidesForAllOthersForThemselves() {
        fleet(20);
        run(1_000);
        String dispatcher = dispatcherAddress();
        mTables.forEach(
                (address, table) -> {
                    FleetShare share = table.share(mNowMillis);
                    boolean isDispatcher = address.equals(dispatcher);
                    assertThat(share.dispatcher()).isEqualTo(isDispatcher);
                    assertThat(share.fraction()).isEqualTo(isDispatcher ? 1 : 1 / 20.0);
                });
        assertThat(mTables.values().stream().map(each -> each.share(mNowMillis).position()))
                .doesNotHaveDuplicates();
    }

    /** Guards against two parts of a fleet that each use a limit of the whole fleet. */
    @Test
    void partsOfACutFleetDecideForTheirShares() {
        fleet(20);
        run(1_000);
        for (int i = 0; i < 5; i++) {
            mCutOff.add(address(i));
        }
        run(5_000);
        double small = shareOfDispatcher(address(0));
        double large = shareOfDispatcher(address(10));
        assertThat(small).isEqualTo(5 / 20.0);
        assertThat(large).isEqualTo(15 / 20.0);
        mCutOff.clear();
        run(5_000);
        assertThat(shareOfDispatcher(address(0))).isEqualTo(1);
    }

    private double shareOfDispatcher(String address) {
        InstanceId dispatcher = mTables.get(address).dispatcher(mNowMillis);
        return mTables.values().stream()
                .filter(each -> each.self().instance().equals(dispatcher))
                .findFirst()
                .orElseThrow()
                .share(mNowMillis)
                .fraction();
    }
}
