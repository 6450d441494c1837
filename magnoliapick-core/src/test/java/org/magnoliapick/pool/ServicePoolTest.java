package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.limit.UpstreamPauses;

/**
 * Tests two instances, one of which is the dispatcher; the test delivers, drops and repeats the
 * messages between them.
 */
final class ServicePoolTest {
    private static final InstanceId REQUESTER = new InstanceId("asker");
    private static final InstanceId DISPATCHER = new InstanceId("dispatcher");

    private final ServicePool mRequester = new ServicePool("s", Jobs.scheduler("u"));
    private final ServicePool mDispatcher = new ServicePool("s", Jobs.scheduler("u"));

    private List<PoolAction> deliverToDispatcher(long nowMillis) {
        for (PoolMessage message : mRequester.takeOutbox()) {
            if (!message.to().equals(DISPATCHER)) {
                continue;
            }
            if (message instanceof PoolMessage.Query query) {
                mDispatcher.receiveQuery(
                        REQUESTER, Jobs.fromInstance(query.job(), "asker"), nowMillis);
            } else if (message instanceof PoolMessage.Withdrawal withdraw) {
                mDispatcher.receiveWithdrawal(REQUESTER, withdraw.queryId(), nowMillis);
            }
        }
        return List.of();
    }

    private List<PoolAction> deliverToRequester(long nowMillis) {
        List<PoolAction> actions = List.of();
        for (PoolMessage message : mDispatcher.takeOutbox()) {
            PoolMessage.Reply reply = (PoolMessage.Reply) message;
            actions = mRequester.receiveDecision(DISPATCHER, reply.decision(), nowMillis);
        }
        return actions;
    }

    @Test
    void startsARequestThatTheDispatcherGrants() {
        mRequester.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        deliverToDispatcher(1);
        assertThat(deliverToRequester(2)).hasSize(1);
        assertThat(mRequester.highestGrant(DISPATCHER)).contains(1L);
        assertThat(mRequester.waitingCount()).isZero();
    }

    @Test
    void repeatsAQueryWhoseReplyIsLostAndStartsOnce() {
        mRequester.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        deliverToDispatcher(1);
        mDispatcher.takeOutbox();
        mRequester.tick(Optional.of(DISPATCHER), 26);
        deliverToDispatcher(27);
        assertThat(deliverToRequester(28)).hasSize(1);
        mDispatcher.receiveQuery(
                REQUESTER, Jobs.fromInstance(Jobs.job(1, "w", "p", 100, 0), "asker"), 30);
        assertThat(deliverToRequester(31)).isEmpty();
    }

    @Test
    void decidesLocallyWhenTheDispatcherDoesNotReply() {
        mRequester.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        assertThat(mRequester.tick(Optional.of(DISPATCHER), 59)).isEmpty();
        assertThat(mRequester.tick(Optional.of(DISPATCHER), 61)).hasSize(1);
    }

    /**
     * Guards against a dispatcher that was paused after it received the query and sends its grant
     * when it resumes, after the requester has decided itself.
     */
    @Test
    void ignoresAGrantThatArrivesAfterTheLocalDecision() {
        mRequester.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        assertThat(mRequester.tick(Optional.of(DISPATCHER), 61)).hasSize(1);
        deliverToDispatcher(5_000);
        assertThat(deliverToRequester(5_001)).isEmpty();
        assertThat(mRequester.waitingCount()).isZero();
    }

    @Test
    void sendsPendingQueriesToANewDispatcher() {
        InstanceId other = new InstanceId("other");
        PoolJob job = Jobs.job(1, "w", "p", 100, 0);
        mRequester.submit(job, Optional.of(DISPATCHER), 0);
        mRequester.takeOutbox();
        mRequester.tick(Optional.of(other), 10);
        assertThat(mRequester.takeOutbox())
                .containsExactly(
                        new PoolMessage.Withdrawal(DISPATCHER, "s", 1),
                        new PoolMessage.Query(other, job));
    }

    @Test
    void withdrawsAQueryAtTheDispatcher() {
        PoolJob busy = Jobs.job(9, "w", "q", 50_000, 0);
        mDispatcher.submit(busy, Optional.empty(), 0);
        PoolJob job = Jobs.job(1, "w", "p", 100, 0);
        mRequester.submit(job, Optional.of(DISPATCHER), 0);
        deliverToDispatcher(1);
        assertThat(mDispatcher.waitingCount()).isEqualTo(1);
        mRequester.withdraw(job);
        deliverToDispatcher(2);
        assertThat(mDispatcher.waitingCount()).isZero();
    }

    /** Guards against a workspace being charged by a slow dispatcher for what it did not get. */
    @Test
    void takesBackAGrantThatComesAfterTheLocalDecision() {
        mRequester.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        assertThat(mRequester.tick(Optional.of(DISPATCHER), 61)).hasSize(1);
        deliverToDispatcher(90);
        assertThat(deliverToRequester(91)).isEmpty();
        assertThat(servedTokens(mDispatcher, 91)).isEmpty();
        assertThat(servedTokens(mRequester, 91)).containsOnlyKeys(new WorkspaceId("w"));
        assertThat(mDispatcher.scheduler().aggregateUse(91).uses()).isEmpty();
    }

    /** Guards against the same for a caller that disconnects while the grant is under way. */
    @Test
    void takesBackAGrantWhoseRequestWasWithdrawnMeanwhile() {
        PoolJob job = Jobs.job(1, "w", "p", 100, 0);
        mRequester.submit(job, Optional.of(DISPATCHER), 0);
        deliverToDispatcher(1);
        mRequester.withdraw(job);
        deliverToDispatcher(2);
        assertThat(servedTokens(mDispatcher, 2)).isEmpty();
    }

    @Test
    void takesBackAGrantOnlyOnce() {
        PoolJob job = Jobs.job(1, "w", "p", 100, 0);
        mRequester.submit(job, Optional.of(DISPATCHER), 0);
        mRequester.submit(Jobs.job(2, "w", "q", 100, 0), Optional.of(DISPATCHER), 0);
        deliverToDispatcher(1);
        mDispatcher.receiveWithdrawal(REQUESTER, 1, 2);
        Map<WorkspaceId, Long> withoutFirst = servedTokens(mDispatcher, 2);
        assertThat(withoutFirst).containsOnlyKeys(new WorkspaceId("w"));
        mDispatcher.receiveWithdrawal(REQUESTER, 1, 2);
        assertThat(servedTokens(mDispatcher, 2)).isEqualTo(withoutFirst);
    }

    @Test
    void withdrawsAQueryAtTheFormerDispatcherAndIgnoresItsGrant() {
        InstanceId other = new InstanceId("other");
        mRequester.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        deliverToDispatcher(1);
        mRequester.tick(Optional.of(other), 10);
        assertThat(deliverToRequester(11)).isEmpty();
        deliverToDispatcher(12);
        assertThat(servedTokens(mDispatcher, 12)).isEmpty();
        assertThat(mRequester.waitingCount()).isEqualTo(1);
    }

    /** Guards against a grant that was taken back and starts a request after all. */
    @Test
    void decidesAQueryAnewThatReturnsFromAnotherDispatcher() {
        mRequester.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        deliverToDispatcher(1);
        mRequester.tick(Optional.of(new InstanceId("other")), 10);
        deliverToDispatcher(11);
        mDispatcher.takeOutbox();
        mRequester.tick(Optional.of(DISPATCHER), 20);
        deliverToDispatcher(21);
        assertThat(deliverToRequester(22)).hasSize(1);
        assertThat(servedTokens(mDispatcher, 22)).containsOnlyKeys(new WorkspaceId("w"));
    }

    @Test
    void takesBackAGrantForAnUpstreamThatTheRequesterDoesNotList() {
        mRequester.scheduler().setUpstreams(List.of(), 0);
        mRequester.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        deliverToDispatcher(1);
        assertThat(deliverToRequester(2)).isEmpty();
        deliverToDispatcher(3);
        assertThat(servedTokens(mDispatcher, 3)).isEmpty();
    }

    @Test
    void doesNotStartAtAnUpstreamThatIsPausedLeavingOrEvacuated() {
        UpstreamPauses pauses = new UpstreamPauses();
        ServicePool paused = new ServicePool("s", Jobs.scheduler(pauses, "u", "v"));
        pauses.record(Jobs.upstream("u").incarnation(), "r", 3_000, 0);
        UpstreamDirectory directory = new UpstreamDirectory();
        for (String each : List.of("u", "v")) {
            directory.put(Jobs.upstream(each), 0, 0);
        }
        directory.leaving().record(Jobs.upstream("u"), "r", 0);
        ServicePool leaving = new ServicePool("s", Jobs.scheduler());
        leaving.scheduler().setUpstreams(directory.usable(Jobs.upstream("u").service()), 0);
        UpstreamDirectory evacuatedDirectory = new UpstreamDirectory();
        FailureDomain other = new FailureDomain("b");
        evacuatedDirectory.put(Jobs.upstream("u", other), 0, 0);
        evacuatedDirectory.put(Jobs.upstream("v"), 0, 0);
        evacuatedDirectory.evacuated().apply(new DomainEvacuation(other, true, 1, 1));
        ServicePool evacuated = new ServicePool("s", Jobs.scheduler());
        evacuated.scheduler().setUpstreams(evacuatedDirectory.usable("s"), 0);
        for (ServicePool pool : List.of(paused, leaving, evacuated)) {
            // Decided here instead, for the other upstream.
            assertThat(grant(pool, "u")).isEqualTo(Jobs.upstream("v"));
            assertThat(pool.scheduler().ownUse(2).uses())
                    .extracting(UpstreamUse::upstream)
                    .containsExactly(new UpstreamId("v"));
            assertThat(grant(pool, "v")).isEqualTo(Jobs.upstream("v"));
        }
    }

    private static ListedUpstream grant(ServicePool pool, String upstream) {
        long queryId = upstream.equals("u") ? 1 : 2;
        pool.submit(Jobs.job(queryId, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        PoolDecision grant =
                new PoolDecision.Start(
                        queryId, queryId, new UpstreamId(upstream), 100, 0, PoolCause.ROOM);
        List<PoolAction> actions = pool.receiveDecision(DISPATCHER, grant, 1);
        assertThat(actions).singleElement().isInstanceOf(PoolAction.Start.class);
        return ((PoolAction.Start) actions.get(0)).ticket().upstream();
    }

    private static Map<WorkspaceId, Long> servedTokens(ServicePool pool, long nowMillis) {
        return pool.scheduler().ownUse(nowMillis).servedTokens();
    }

    /** Guards against requests that meet those which were granted while they were delayed. */
    @Test
    void returnsAGrantForAColdUpstreamThatArrivesLate() {
        RateLimits limits = new RateLimits();
        PoolScheduler scheduler = Jobs.scheduler(limits, "u");
        ServicePool requester = new ServicePool("s", scheduler);
        scheduler.configure(Jobs.coldService(3_000, 12));
        limits.cold().configure(Map.of("s", 3_000L));
        limits.cold().recordResponse(Jobs.upstream("u").incarnation(), "s", 3_000, "r", 0, 0);
        PoolDecision.Start start =
                new PoolDecision.Start(1, 1, new UpstreamId("u"), 100, 0, PoolCause.ROOM);
        requester.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        requester.receiveDecision(DISPATCHER, new PoolDecision.Queued(1), 2);
        requester.takeOutbox();
        assertThat(requester.receiveDecision(DISPATCHER, start, 250)).isEmpty();
        assertThat(requester.takeOutbox())
                .containsExactly(new PoolMessage.Withdrawal(DISPATCHER, "s", 1));
        PoolDecision.Start later =
                new PoolDecision.Start(2, 2, new UpstreamId("u"), 100, 0, PoolCause.ROOM);
        requester.submit(Jobs.job(2, "w", "p", 100, 300), Optional.of(DISPATCHER), 300);
        assertThat(requester.receiveDecision(DISPATCHER, later, 350)).hasSize(1);
    }
}
