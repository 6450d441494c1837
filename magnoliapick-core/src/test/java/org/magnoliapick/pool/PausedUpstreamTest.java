package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.limit.PauseUpdate;
import org.magnoliapick.limit.UpstreamPause;
import org.magnoliapick.limit.UpstreamPauses;

/** Guards against requests to upstreams that asked an instance for a pause. */
final class PausedUpstreamTest {
    private static final IntPredicate ALL = instance -> true;
    private static final InstanceId OTHER = new InstanceId("other");

    private final List<FakeFleet.Request> mRequests = new ArrayList<>();
    private final UpstreamPauses mPauses = new UpstreamPauses();

    @ParameterizedTest
    @CsvSource({"1,8", "2,8", "3,8", "4,8", "5,8", "6,100", "7,300"})
    void keepsThePausesOfSomeEngines(long seed, int instances) {
        FakeFleet fleet = new FakeFleet(instances, Math.min(instances, 100), 8, seed);
        send(fleet, 12_000, 75);
        // More than the other engines can take.
        Demand.send(fleet, mRequests, 10_000, 12_000, 200);
        refuse(fleet, 3, ALL, 2_000, 6_000, 3_000);
        fleet.runUntil(12_000);
        assertKept(fleet);
        assertThat(answeredShare(ALL)).isGreaterThan(0.95);
        for (int engine = 0; engine < 3; engine++) {
            // After the pauses it is used again.
            assertThat(fleet.engine(engine).arrivalMillis()).anyMatch(millis -> millis > 10_000);
        }
    }

    @Test
    void keepsPausesWhileTheDispatcherDoesNotReply() {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        send(fleet, 12_000, 60);
        refuse(fleet, 3, ALL, 2_000, 8_000, 4_000);
        fleet.at(2_500, () -> fleet.setCut(0, true));
        fleet.at(6_000, () -> fleet.setCut(0, false));
        fleet.runUntil(12_000);
        assertKept(fleet);
    }

    @Test
    void keepsPausesAfterARestartOfTheDispatcher() {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        send(fleet, 12_000, 60);
        refuse(fleet, 3, instance -> instance > 0, 2_000, 4_000, 6_000);
        fleet.at(4_500, () -> fleet.restart(0));
        fleet.runUntil(12_000);
        assertKept(fleet);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void doesNotHoldBackOtherInstances(int refused) {
        FakeFleet fleet = new FakeFleet(8, 8, 1);
        send(fleet, 12_000, 75);
        IntPredicate instances = instance -> instance >= 8 - refused;
        refuse(fleet, 8, instances, 2_000, 12_000, 20_000);
        fleet.runUntil(13_000);
        assertKept(fleet);
        assertThat(answeredShare(instances.negate())).isGreaterThan(0.99);
        List<FakeFleet.Request> late =
                mRequests.stream()
                        .filter(each -> instances.test(each.instance()))
                        .filter(each -> each.arrivedMillis() > 8_000)
                        .toList();
        assertThat(late)
                .isNotEmpty()
                .allMatch(each -> each.refusal().equals(Optional.of(PoolCause.PAUSED)));
    }

    @Test
    void decidesAgainIfTheDispatcherChoseAPausedEngine() {
        ServicePool pool = new ServicePool("s", Jobs.scheduler(mPauses, "u", "v"));
        PoolJob job = Jobs.job(1, "w", "p", 1_000, 100);
        pool.submit(job, Optional.of(OTHER), 100);
        mPauses.record(Jobs.upstream("u").incarnation(), "r", 5_000, 105);
        PoolDecision.Start start =
                new PoolDecision.Start(1, 1, Jobs.upstream("u").id(), 10, 0, PoolCause.ROOM);
        List<PoolAction> actions = pool.receiveDecision(OTHER, start, 110);
        assertThat(actions).hasSize(1);
        assertThat(upstreamOf(actions)).contains(Jobs.upstream("v"));
        assertThat(actions.get(0).job()).isEqualTo(job);
    }

    @Test
    void coversRequestsThatWaitAtTheDispatcher() {
        PoolScheduler dispatcher = Jobs.scheduler(mPauses, "u");
        List<Ticket> running = fill(dispatcher);
        PoolJob paused = Jobs.fromInstance(Jobs.ranked(21, "w", 1_000, 0, 100), "other");
        PoolJob sound = Jobs.fromInstance(Jobs.ranked(22, "w", 1_000, 1, 100), "sound");
        assertThat(dispatcher.submit(paused, 100)).isEmpty();
        assertThat(dispatcher.submit(sound, 100)).isEmpty();
        // It ends before the request would have to be refused.
        pause("u", 130);
        List<PoolAction> actions =
                new ArrayList<>(dispatcher.endAttempt(running.get(0), Optional.empty(), 110));
        actions.addAll(dispatcher.endAttempt(running.get(1), Optional.empty(), 111));
        assertThat(actions).extracting(PoolAction::job).containsExactly(sound);
        assertThat(dispatcher.tick(130)).extracting(PoolAction::job).containsExactly(paused);
    }

    @Test
    void refusesWaitingRequestsAtOnceIfAllEnginesArePaused() {
        PoolScheduler dispatcher = Jobs.scheduler(mPauses, "u", "v");
        pause("u", 9_000);
        PoolJob job = Jobs.fromInstance(Jobs.job(21, "w", "p", 1_000, 100), "other");
        assertThat(upstreamOf(dispatcher.submit(job, 100))).contains(Jobs.upstream("v"));
        pause("v", 400);
        job = Jobs.fromInstance(Jobs.job(22, "w", "p", 1_000, 100), "other");
        PoolAction.Refuse refuse = (PoolAction.Refuse) dispatcher.submit(job, 100).get(0);
        assertThat(refuse.cause()).isEqualTo(PoolCause.PAUSED);
        assertThat(refuse.retryAfterMillis()).isBetween(1L, 300L);
    }

    /** Guards against a queue whose first requests may not be sent anywhere at present. */
    @Test
    void startsARequestBehindManyThatArePaused() {
        PoolScheduler dispatcher = Jobs.scheduler(mPauses, "u");
        List<Ticket> running = fill(dispatcher);
        for (int i = 0; i < 60; i++) {
            PoolJob job = Jobs.ranked(100 + i, "w", 100, 0, 100);
            assertThat(dispatcher.submit(Jobs.fromInstance(job, "other"), 100)).isEmpty();
        }
        PoolJob sound = Jobs.fromInstance(Jobs.ranked(22, "w", 100, 1, 100), "sound");
        assertThat(dispatcher.submit(sound, 100)).isEmpty();
        pause("u", 140);
        List<PoolAction> actions = dispatcher.endAttempt(running.get(0), Optional.empty(), 110);
        assertThat(actions).extracting(PoolAction::job).containsExactly(sound);
    }

    @Test
    void sendsARequestAgainToAnEngineThatFailedItIfTheOthersArePaused() {
        PoolScheduler pool = Jobs.scheduler(mPauses, "u", "v");
        mPauses.record(Jobs.upstream("u").incarnation(), "r", 5_000, 100);
        PoolJob job = Jobs.excluding(Jobs.job(1, "w", "p", 1_000, 100), "v");
        assertThat(upstreamOf(pool.submit(job, 100))).contains(Jobs.upstream("v"));
    }

    @Test
    void isNotEndedByTheSuccessOfARequestThatWasSentBefore() {
        PoolScheduler pool = Jobs.scheduler(mPauses, "u", "v");
        PoolAction.Start first =
                (PoolAction.Start) pool.submit(Jobs.job(1, "w", "p", 1_000, 100), 100).get(0);
        ListedUpstream upstream = first.ticket().upstream();
        mPauses.record(upstream.incarnation(), "r", 5_000, 110);
        pool.endAttempt(first.ticket(), Optional.empty(), 200);
        for (int i = 2; i < 20; i++) {
            long nowMillis = 200 + i * 100;
            PoolAction.Start start =
                    (PoolAction.Start)
                            pool.submit(Jobs.job(i, "w", "p", 1_000, nowMillis), nowMillis).get(0);
            assertThat(start.ticket().upstream()).isNotEqualTo(upstream);
            pool.endAttempt(start.ticket(), Optional.empty(), nowMillis + 50);
        }
    }

    /** Fills an engine with requests; returns them. */
    private static List<Ticket> fill(PoolScheduler pool) {
        List<Ticket> running = new ArrayList<>();
        for (int i = 1; i <= 20; i++) {
            PoolJob job = Jobs.job(i, "full", "p", 100, 0);
            for (PoolAction action : pool.submit(job, 0)) {
                if (action instanceof PoolAction.Start start) {
                    running.add(start.ticket());
                    pool.recordEvent(start.ticket(), 0);
                }
            }
            pool.withdraw(job);
        }
        return running;
    }

    /** Lets a dispatcher learn that an engine asked the other instance for a pause. */
    private void pause(String upstream, long endMillis) {
        UpstreamPause pause = new UpstreamPause(Jobs.upstream(upstream).incarnation(), endMillis);
        mPauses.applyUpdate(OTHER, 1, new PauseUpdate(1, List.of(pause)), 0);
    }

    private static Optional<ListedUpstream> upstreamOf(List<PoolAction> actions) {
        return actions.stream()
                .filter(PoolAction.Start.class::isInstance)
                .map(each -> ((PoolAction.Start) each).ticket().upstream())
                .findFirst();
    }

    private void send(FakeFleet fleet, long untilMillis, int perSecond) {
        Demand.send(fleet, mRequests, 0, untilMillis, perSecond);
    }

    private static void refuse(
            FakeFleet fleet,
            int engines,
            IntPredicate instances,
            long fromMillis,
            long untilMillis,
            long pauseMillis) {
        for (int i = 0; i < engines; i++) {
            fleet.engine(i).refuse(instances, fromMillis, untilMillis, pauseMillis);
        }
    }

    private static void assertKept(FakeFleet fleet) {
        boolean paused = false;
        for (int i = 0; i < 8; i++) {
            FakeEngine engine = fleet.engine(i);
            for (FakeEngine.Pause pause : engine.pauses()) {
                paused = true;
                assertThat(engine.arrivals())
                        .as(pause.toString())
                        .noneMatch(
                                each ->
                                        each.request().instance() == pause.instance()
                                                && each.atMillis() > pause.fromMillis()
                                                && each.atMillis() < pause.untilMillis());
            }
        }
        assertThat(paused).isTrue();
    }

    private double answeredShare(IntPredicate instances) {
        List<FakeFleet.Request> sent =
                mRequests.stream()
                        .filter(each -> instances.test(each.instance()))
                        .filter(each -> each.arrivedMillis() < 10_000)
                        .toList();
        return (double) sent.stream().filter(FakeFleet.Request::isAnswered).count() / sent.size();
    }
}
