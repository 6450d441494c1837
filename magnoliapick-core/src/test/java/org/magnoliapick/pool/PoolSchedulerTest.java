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
    void startsAtOnceWhereThereIsRoom() {
        PoolScheduler pool = Jobs.scheduler("u");
        assertThat(start(pool.submit(Jobs.job(1, "w", "p", 1_000, 0), 0)).cause())
                .isEqualTo(PoolCause.ROOM);
    }

    @Test
    void letsLittleBeReadAheadAndStartsTheLeastServedNext() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket first = start(pool.submit(Jobs.job(1, "large", "p", 9_000, 0), 0)).ticket();
        assertThat(pool.submit(Jobs.job(2, "large", "p", 1_000, 1), 1)).isEmpty();
        assertThat(pool.submit(Jobs.job(3, "small", "q", 1_000, 2), 2)).isEmpty();
        pool.recordEvent(first, 30);
        List<PoolAction> next = pool.tick(30);
        assertThat(next.get(0).job().account().value()).isEqualTo("small");
    }

    @Test
    void tellsOnlyTheFirstEventOfAnAnswerForAChangeOfUse() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket ticket = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        assertThat(pool.recordEvent(ticket, 30)).isTrue();
        assertThat(pool.recordEvent(ticket, 40)).isFalse();
    }

    @Test
    void waitsForTheUpstreamThatKeepsThePromptForATime() {
        PoolScheduler pool = Jobs.scheduler("u", "v");
        Ticket first = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        assertThat(pool.submit(Jobs.job(2, "w", "p", 9_000, 1), 1)).isEmpty();
        assertThat(pool.tick(100)).isEmpty();
        pool.recordEvent(first, 110);
        assertThat(start(pool.tick(110)).ticket().upstream()).isEqualTo(first.upstream());
    }

    @Test
    void refusesWhatWouldBeTooLateAfterAnEighthOfItsObjective() {
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

    /** Replays suva: prompts of 6,300 shared tokens, of which memory holds many at once. */
    @Test
    void countsWhatRequestsShareInMemoryOnce() {
        PoolScheduler pool = Jobs.scheduler("u");
        int started = 0;
        for (int i = 0; i < 4; i++) {
            PoolAction.Start start = start(pool.submit(Jobs.job(i, "w", "p", 40_000, i), i));
            pool.recordEvent(start.ticket(), i);
            started++;
        }
        // 24,100 for the first, which its home keeps in part, then 20,100 each, of 90,000.
        assertThat(started).isEqualTo(4);
        assertThat(pool.submit(Jobs.job(9, "w", "p", 40_000, 9), 9)).isEmpty();
    }

    @Test
    void countsWhatOtherInstancesRun() {
        PoolScheduler pool = Jobs.scheduler("u");
        UpstreamUse use = new UpstreamUse(new UpstreamId("u"), 10, 0, 0, 0);
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
    void triesALostUpstreamWithOneRequestAtATime() {
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
    void doesNotWaitForAnUpstreamThatTakesNoWork() {
        PoolScheduler pool = Jobs.scheduler("u", "v");
        Ticket first = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        pool.endAttempt(first, Optional.of(AttemptEnd.NOT_SENT), 1);
        Ticket next = start(pool.submit(Jobs.job(2, "w", "p", 9_000, 2), 2)).ticket();
        assertThat(next.upstream()).isNotEqualTo(first.upstream());
    }

    /** Replays scale-2 of sabourah-muscat: one workspace of a higher rank took nearly all. */
    @Test
    void ranksDoNotGoBeforeShares() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket large = start(pool.submit(Jobs.ranked(1, "high", 60_000, 0, 0), 0)).ticket();
        pool.submit(Jobs.ranked(2, "high", 1_000, 0, 1), 1);
        pool.submit(Jobs.ranked(3, "low", 1_000, 100, 2), 2);
        pool.recordEvent(large, 30);
        assertThat(pool.tick(30).get(0).job().account().value()).isEqualTo("low");
    }

    @Test
    void ranksDecideAmongWorkspacesThatWereServedAboutTheSame() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket first = start(pool.submit(Jobs.ranked(1, "high", 9_000, 0, 0), 0)).ticket();
        pool.submit(Jobs.ranked(2, "low", 1_000, 100, 1), 1);
        pool.submit(Jobs.ranked(3, "middle", 1_000, 1, 2), 2);
        pool.recordEvent(first, 30);
        assertThat(pool.tick(30).get(0).job().account().value()).isEqualTo("middle");
    }

    /**
     * Replays the overload of scale-2: more prompts wait than can be read while they are useful.
     */
    @Test
    void startsWhatHasToBeReadLeastForWhatItAsks() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket first = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        pool.submit(Jobs.job(2, "w", "q", 9_000, 1), 1);
        pool.submit(Jobs.job(3, "w", "p", 9_000, 2), 2);
        pool.recordEvent(first, 30);
        assertThat(pool.tick(30).get(0).job().queryId()).isEqualTo(3);
    }

    @Test
    void letsCallersThatCameBackGoBeforeNewOnes() {
        PoolScheduler pool = Jobs.scheduler("u");
        Ticket first = start(pool.submit(Jobs.job(1, "w", "p", 9_000, 0), 0)).ticket();
        pool.submit(Jobs.job(2, "w", "p", 9_000, 1), 1);
        pool.submit(Jobs.returned(Jobs.job(3, "w", "q", 9_000, 2)), 2);
        pool.recordEvent(first, 30);
        assertThat(pool.tick(30).get(0).job().queryId()).isEqualTo(3);
    }

    private static PoolUse othersUse(long readingTokens, boolean whole) {
        UpstreamUse use = new UpstreamUse(new UpstreamId("u"), 1, readingTokens, 0, 60);
        return new PoolUse("s", List.of(use), Map.of(), 1_000, OptionalLong.of(0), whole);
    }

    /** Serves a workspace so much that others that wait elsewhere were served less. */
    private static void serveAhead(PoolScheduler pool, String workspace) {
        Ticket ticket = start(pool.submit(Jobs.job(1, workspace, "p", 40_000, 0), 0)).ticket();
        pool.endAttempt(ticket, Optional.empty(), 1);
    }

    @Test
    void whatWaitsAtADispatcherElsewhereDoesNotKeepUpstreamsIdle() {
        PoolScheduler pool = Jobs.scheduler("u");
        serveAhead(pool, "large");
        pool.updatePeer(new InstanceId("other"), othersUse(0, true), 1);
        assertThat(pool.submit(Jobs.job(2, "large", "p", 1_000, 2), 2)).hasSize(1);
    }

    @Test
    void whatWaitsAtADispatcherElsewhereGoesFirstWhereUpstreamsAreBusy() {
        PoolScheduler pool = Jobs.scheduler("u");
        serveAhead(pool, "large");
        pool.updatePeer(new InstanceId("other"), othersUse(2_000, true), 1);
        assertThat(pool.submit(Jobs.job(2, "large", "p", 1_000, 2), 2)).isEmpty();
        assertThat(pool.submit(Jobs.job(3, "small", "q", 1_000, 2), 2)).hasSize(1);
    }

    @Test
    void whatWaitsAtAnInstanceThatAsksHereGoesFirst() {
        PoolScheduler pool = Jobs.scheduler("u");
        serveAhead(pool, "large");
        pool.submit(Jobs.asked(Jobs.job(2, "small", "q", 10, 1), "other"), 1);
        pool.updatePeer(new InstanceId("other"), othersUse(0, false), 1);
        assertThat(pool.submit(Jobs.job(3, "large", "p", 1_000, 2), 2)).isEmpty();
    }

    @Test
    void readsOnWhileTheReportOfAnInstanceThatDoesNotAskHereTravels() {
        PoolScheduler pool = Jobs.scheduler("u");
        pool.updatePeer(new InstanceId("other"), othersUse(9_000, true), 0);
        assertThat(pool.submit(Jobs.job(1, "w", "p", 1_000, 10), 10)).isEmpty();
        assertThat(pool.tick(90)).hasSize(1);
    }

    @Test
    void doesNotCountOnAnUpstreamThatStoodStillBetweenTwoReports() {
        PoolScheduler pool = Jobs.scheduler("u");
        pool.updatePeer(new InstanceId("other"), othersUse(9_000, true), 0);
        pool.updatePeer(new InstanceId("other"), othersUse(9_000, true), 300);
        assertThat(pool.submit(Jobs.job(1, "w", "p", 1_000, 310), 310)).isEmpty();
        assertThat(pool.tick(350)).isEmpty();
    }
}
