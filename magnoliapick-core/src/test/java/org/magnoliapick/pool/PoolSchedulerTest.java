package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.request.AttemptEnd;

final class PoolSchedulerTest {
    private static PoolAction.Start start(List<PoolAction> actions) {
        assertThat(actions).hasSize(1);
        return (PoolAction.Start) actions.get(0);
    }

    @Test
    void startsImmediatelyIfThereIsRoom() {
        PoolScheduler pool = Jobs.scheduler("u");
        assertThat(start(pool.submit(Jobs.job(1, "w", "p", 1_000, 0), 0)).cause())
                .isEqualTo(PoolCause.ROOM);
    }

    @Test
    void limitsTheBacklogAndStartsTheLeastServedWorkspaceNext() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket first = start(pool.submit(Jobs.job(1, "large", "p", 9_000, 0), 0)).ticket();
        assertThat(pool.submit(Jobs.job(2, "large", "p", 1_000, 1), 1)).isEmpty();
        assertThat(pool.submit(Jobs.job(3, "small", "q", 1_000, 2), 2)).isEmpty();
        pool.recordEvent(first, 30);
        List<PoolAction> next = pool.tick(30);
        assertThat(next.get(0).job().account().value()).isEqualTo("small");
    }

    @Test
    void reportsOnlyTheFirstEventOfAnAnswerAsAChangeOfUse() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket ticket = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        assertThat(pool.recordEvent(ticket, 30)).isTrue();
        assertThat(pool.recordEvent(ticket, 40)).isFalse();
    }

    @Test
    void waitsATimeForTheUpstreamThatHasThePromptCached() {
        PoolScheduler pool = Jobs.scheduler("u", "v");
        Ticket first = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        assertThat(pool.submit(Jobs.job(2, "w", "p", 9_000, 1), 1)).isEmpty();
        assertThat(pool.tick(100)).isEmpty();
        pool.recordEvent(first, 110);
        assertThat(start(pool.tick(110)).ticket().upstream()).isEqualTo(first.upstream());
    }

    @Test
    void refusesALateRequestAfterAnEighthOfItsObjective() {
        PoolScheduler pool = Jobs.scheduler("u");
        pool.submit(Jobs.job(1, "w", "p", 60_000, 0), 0);
        assertThat(pool.submit(Jobs.job(2, "w", "q", 1_000, 1), 1)).isEmpty();
        assertThat(pool.tick(50)).isEmpty();
        List<PoolAction> refused = pool.tick(51);
        assertThat(refused).hasSize(1);
        assertThat(((PoolAction.Refuse) refused.get(0)).cause()).isEqualTo(PoolCause.TOO_LATE);
    }

    @Test
    void fillsAllSlotsAndNoMore() {
        PoolScheduler pool = Jobs.scheduler("u");
        int started = 0;
        for (int i = 0; i < 20; i++) {
            for (PoolAction action : pool.submit(Jobs.job(i, "w", "p" + i, 10, i), i)) {
                started += action instanceof PoolAction.Start ? 1 : 0;
            }
        }
        assertThat(started).isEqualTo(10);
    }

    /**
     * Guards against counting shared prompt parts once per request: in suva, prompts share 6,300
     * tokens, and memory holds many of them at once.
     */
    @Test
    void countsMemoryOfSharedPromptPartsOnce() {
        PoolScheduler pool = Jobs.scheduler("u");
        int started = 0;
        for (int i = 0; i < 4; i++) {
            PoolAction.Start start = start(pool.submit(Jobs.job(i, "w", "p", 40_000, i), i));
            pool.recordEvent(start.ticket(), i);
            started++;
        }
        // 24,100 tokens for the first, partly cached by its preferred upstream, then 20,100 each;
        // the limit is 90,000.
        assertThat(started).isEqualTo(4);
        assertThat(pool.submit(Jobs.job(9, "w", "p", 40_000, 9), 9)).isEmpty();
    }

    @Test
    void countsRunningRequestsOfOtherInstances() {
        PoolScheduler pool = Jobs.scheduler("u");
        UpstreamUse use = new UpstreamUse(new UpstreamId("u"), 10, 0, 0, 0, 0);
        pool.updatePeer(
                new InstanceId("other"),
                new PoolUse("s", List.of(use), Map.of(), 0, OptionalLong.empty(), false),
                0);
        assertThat(pool.submit(Jobs.job(1, "w", "p", 10, 1), 1)).isEmpty();
        pool.updatePeer(
                new InstanceId("other"),
                new PoolUse("s", List.of(), Map.of(), 0, OptionalLong.empty(), false),
                2);
        assertThat(pool.tick(2)).hasSize(1);
    }

    @Test
    void probesAnUnreachableUpstreamWithOneRequestAtATime() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket lost = start(pool.submit(Jobs.job(1, "w", "p", 10, 0), 0)).ticket();
        pool.endAttempt(lost, Optional.of(AttemptEnd.NOT_SENT), 0);
        pool.submit(Jobs.job(2, "w", "p", 10, 240), 240);
        pool.submit(Jobs.job(3, "w", "p", 10, 241), 241);
        List<PoolAction> starts = new ArrayList<>(pool.tick(251));
        assertThat(starts).hasSize(1);
        assertThat(pool.tick(260)).isEmpty();
    }

    @Test
    void doesNotWaitForAnUnreachableUpstream() {
        PoolScheduler pool = Jobs.scheduler("u", "v");
        Ticket first = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        pool.endAttempt(first, Optional.of(AttemptEnd.NOT_SENT), 1);
        Ticket next = start(pool.submit(Jobs.job(2, "w", "p", 9_000, 2), 2)).ticket();
        assertThat(next.upstream()).isNotEqualTo(first.upstream());
    }

    /**
     * Guards against ranks that override shares: in scale-2 of sabourah-muscat, one workspace of a
     * higher rank got nearly all capacity.
     */
    @Test
    void sharesTakePrecedenceOverRanks() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket large = start(pool.submit(Jobs.ranked(1, "high", 60_000, 0, 0), 0)).ticket();
        pool.submit(Jobs.ranked(2, "high", 1_000, 0, 1), 1);
        pool.submit(Jobs.ranked(3, "low", 1_000, 100, 2), 2);
        pool.recordEvent(large, 30);
        assertThat(pool.tick(30).get(0).job().account().value()).isEqualTo("low");
    }

    @Test
    void ranksOrderEquallyServedWorkspaces() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket first = start(pool.submit(Jobs.ranked(1, "high", 9_000, 0, 0), 0)).ticket();
        pool.submit(Jobs.ranked(2, "low", 1_000, 100, 1), 1);
        pool.submit(Jobs.ranked(3, "middle", 1_000, 1, 2), 2);
        pool.recordEvent(first, 30);
        assertThat(pool.tick(30).get(0).job().account().value()).isEqualTo("middle");
    }

    /**
     * Covers the overload of scale-2, where more prompts wait than can be prefilled while they are
     * still useful.
     */
    @Test
    void startsTheRequestWithTheLeastPrefillForItsSize() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket first = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        pool.submit(Jobs.job(2, "w", "q", 9_000, 1), 1);
        pool.submit(Jobs.job(3, "w", "p", 9_000, 2), 2);
        pool.recordEvent(first, 30);
        assertThat(pool.tick(30).get(0).job().queryId()).isEqualTo(3);
    }

    @Test
    void startsRetriesOfRefusedCallersBeforeNewRequests() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket first = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        pool.submit(Jobs.job(2, "w", "p", 9_000, 1), 1);
        pool.submit(Jobs.callerRetry(Jobs.job(3, "w", "q", 9_000, 2)), 2);
        pool.recordEvent(first, 30);
        assertThat(pool.tick(30).get(0).job().queryId()).isEqualTo(3);
    }

    private static PoolUse useOfOthers(long prefillTokens, boolean aggregate) {
        UpstreamUse use = new UpstreamUse(new UpstreamId("u"), 1, prefillTokens, 0, 60, 0);
        return new PoolUse("s", List.of(use), Map.of(), 1_000, OptionalLong.of(0), aggregate);
    }

    /** Serves a workspace more than the workspaces with requests waiting at other instances. */
    private static void serveMore(PoolScheduler pool, String workspace) {
        Ticket ticket = start(pool.submit(Jobs.job(1, workspace, "p", 40_000, 0), 0)).ticket();
        pool.endAttempt(ticket, Optional.empty(), 1);
    }

    @Test
    void usesIdleUpstreamsThoughLessServedWorkspacesWaitAtAnotherDispatcher() {
        PoolScheduler pool = Jobs.scheduler("u");
        serveMore(pool, "large");
        pool.updatePeer(new InstanceId("other"), useOfOthers(0, true), 1);
        assertThat(pool.submit(Jobs.job(2, "large", "p", 1_000, 2), 2)).hasSize(1);
    }

    @Test
    void leavesBusyUpstreamsToLessServedWorkspacesAtAnotherDispatcher() {
        PoolScheduler pool = Jobs.scheduler("u");
        serveMore(pool, "large");
        pool.updatePeer(new InstanceId("other"), useOfOthers(2_000, true), 1);
        assertThat(pool.submit(Jobs.job(2, "large", "p", 1_000, 2), 2)).isEmpty();
        assertThat(pool.submit(Jobs.job(3, "small", "q", 1_000, 2), 2)).hasSize(1);
    }

    @Test
    void leavesIdleUpstreamsToLessServedWorkspacesOfARequestingInstance() {
        PoolScheduler pool = Jobs.scheduler("u");
        serveMore(pool, "large");
        pool.submit(Jobs.fromInstance(Jobs.job(2, "small", "q", 10, 1), "other"), 1);
        pool.updatePeer(new InstanceId("other"), useOfOthers(0, false), 1);
        assertThat(pool.submit(Jobs.job(3, "large", "p", 1_000, 2), 2)).isEmpty();
    }

    /** Guards against the next dispatcher refusing its own requests while upstreams are idle. */
    @Test
    void usesIdleUpstreamsThoughLessServedWorkspacesWaitElsewhereUnlessItIsTheDispatcher() {
        PoolScheduler pool = Jobs.scheduler("u");
        pool.setShare(new FleetShare(0.5, false, 0, 2, 1), 0);
        serveMore(pool, "large");
        pool.updatePeer(new InstanceId("other"), useOfOthers(0, false), 1);
        assertThat(pool.submit(Jobs.job(2, "large", "p", 1_000, 2), 2)).hasSize(1);
        pool.updatePeer(new InstanceId("other"), useOfOthers(2_000, false), 3);
        assertThat(pool.submit(Jobs.job(3, "large", "p", 1_000, 4), 4)).isEmpty();
    }

    @Test
    void extrapolatesPrefillBetweenReportsOfAnotherDispatcher() {
        PoolScheduler pool = Jobs.scheduler("u");
        pool.updatePeer(new InstanceId("other"), useOfOthers(9_000, true), 0);
        assertThat(pool.submit(Jobs.job(1, "w", "p", 1_000, 10), 10)).isEmpty();
        assertThat(pool.tick(90)).hasSize(1);
    }

    @Test
    void doesNotExtrapolatePrefillWithoutProgressBetweenTwoReports() {
        PoolScheduler pool = Jobs.scheduler("u");
        pool.updatePeer(new InstanceId("other"), useOfOthers(9_000, true), 0);
        pool.updatePeer(new InstanceId("other"), useOfOthers(9_000, true), 300);
        assertThat(pool.submit(Jobs.job(1, "w", "p", 1_000, 310), 310)).isEmpty();
        assertThat(pool.tick(350)).isEmpty();
    }
}
