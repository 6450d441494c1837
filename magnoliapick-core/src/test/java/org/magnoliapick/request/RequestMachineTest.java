package org.magnoliapick.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.claim.ClaimVerdict;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.share.AttemptOutcome;

final class RequestMachineTest {
    private static final long DEADLINE_MILLIS = 10_000;
    private static final AttemptId CLAIM = new AttemptId("claim");
    private static final AttemptId FIRST = new AttemptId("first");
    private static final AttemptId SECOND = new AttemptId("second");
    private static final UpstreamId UPSTREAM_A = new UpstreamId("a");
    private static final UpstreamId UPSTREAM_B = new UpstreamId("b");

    private final List<RequestAction> mActions = new ArrayList<>();

    @Test
    void relaysEachChunkAndCompletesTheAnswer() {
        RequestMachine machine = answering(idempotent(), 2);

        handle(machine, new RequestEvent.EndReceived(FIRST));

        assertThat(mActions)
                .containsSubsequence(
                        new RequestAction.RelayHead(FIRST),
                        new RequestAction.RelayChunk(FIRST, 0),
                        new RequestAction.RelayChunk(FIRST, 1),
                        new RequestAction.AnswerComplete(FIRST),
                        new RequestAction.ReleaseSlot(AttemptOutcome.WHOLE));
        assertThat(machine.state()).isEqualTo(RequestState.WHOLE);
    }

    @Test
    void retriesALostAttemptOfAnIdempotentRequestAtAnotherUpstream() {
        RequestMachine machine = sent(idempotent());

        handle(machine, new RequestEvent.AttemptFailed(FIRST, AttemptEnd.LOST_BEFORE_HEAD));

        assertThat(mActions).endsWith(new RequestAction.Submit(Set.of(UPSTREAM_A)));
    }

    @Test
    void releasesASlotOfTheUpstreamThatJustFailed() {
        RequestMachine machine = sent(idempotent());
        handle(machine, new RequestEvent.AttemptFailed(FIRST, AttemptEnd.LOST_BEFORE_HEAD));

        mActions.clear();
        handle(machine, new RequestEvent.SlotGranted(UPSTREAM_A, SECOND));

        assertThat(mActions)
                .containsExactly(
                        new RequestAction.ReleaseSlot(AttemptOutcome.CANCELLED),
                        new RequestAction.Submit(Set.of(UPSTREAM_A)));
    }

    @Test
    void refusalAfterALostAttemptIsNotReportedAsNotRun() {
        RequestMachine machine = sent(idempotent());
        handle(machine, new RequestEvent.AttemptFailed(FIRST, AttemptEnd.LOST_BEFORE_HEAD));

        handle(machine, new RequestEvent.Refused(ErrorKind.WORKSPACE_QUEUE_FULL, 2_000));

        assertThat(error().kind()).isEqualTo(ErrorKind.UPSTREAM_LOST);
    }

    @Test
    void deadlineOfARetryIsNotReportedAsNotRun() {
        RequestMachine machine = sent(idempotent());
        handle(machine, new RequestEvent.AttemptFailed(FIRST, AttemptEnd.LOST_BEFORE_HEAD));

        machine.handle(new RequestEvent.DeadlinePassed(), DEADLINE_MILLIS).forEach(mActions::add);

        assertThat(error().kind()).isEqualTo(ErrorKind.DEADLINE_AFTER_START);
    }

    @Test
    void nonIdempotentRequestIsNeverSentAgainOnceSent() {
        for (AttemptEnd end : AttemptEnd.values()) {
            mActions.clear();
            RequestMachine machine = sent(unclaimed());
            handle(machine, new RequestEvent.AttemptFailed(FIRST, end));
            boolean requeued = machine.state() == RequestState.QUEUED;
            assertThat(requeued).as(end.name()).isEqualTo(end == AttemptEnd.NOT_SENT);
        }
    }

    @Test
    void reportsNotRunOnlyIfTheAttemptProvesIt() {
        for (AttemptEnd end : AttemptEnd.values()) {
            mActions.clear();
            RequestMachine machine = new RequestMachine(unclaimed(), now -> false);
            send(machine);
            handle(machine, new RequestEvent.AttemptFailed(FIRST, end));
            boolean notRun = error().kind() == ErrorKind.UPSTREAM_REFUSED;
            assertThat(notRun).as(end.name()).isEqualTo(end.provesNotRun());
        }
    }

    @Test
    void cutStreamIsResumedAtItsOffsetInTheSameAttempt() {
        RequestMachine machine = answering(idempotent(), 2);

        handle(machine, new RequestEvent.AttemptFailed(FIRST, AttemptEnd.CUT));

        assertThat(mActions).endsWith(new RequestAction.ResumeAttempt(FIRST, UPSTREAM_A, 2));
    }

    @Test
    void chunksRepeatedByAResumeAreDropped() {
        RequestMachine machine = answering(idempotent(), 2);
        handle(machine, new RequestEvent.AttemptFailed(FIRST, AttemptEnd.CUT));

        mActions.clear();
        handle(machine, new RequestEvent.ChunkReceived(FIRST, 1));
        handle(machine, new RequestEvent.ChunkReceived(FIRST, 2));

        assertThat(mActions).containsExactly(new RequestAction.RelayChunk(FIRST, 2));
    }

    @Test
    void gapInAStreamEndsItWithAnError() {
        RequestMachine machine = answering(idempotent(), 2);

        handle(machine, new RequestEvent.ChunkReceived(FIRST, 3));

        assertThat(error().kind()).isEqualTo(ErrorKind.ANSWER_BROKEN);
        assertThat(error().midStream()).isTrue();
        assertThat(mActions).contains(new RequestAction.CancelAttempt(FIRST, UPSTREAM_A));
    }

    @Test
    void partlyRelayedStreamIsNotRetried() {
        RequestMachine machine = answering(idempotent(), 1);

        handle(machine, new RequestEvent.AttemptFailed(FIRST, AttemptEnd.MALFORMED));

        assertThat(machine.state()).isEqualTo(RequestState.FAILED);
    }

    @Test
    void unstreamedAnswerIsHeldUntilItsEndMark() {
        RequestPlan plan = new RequestPlan(true, false, false, Optional.empty(), DEADLINE_MILLIS);
        RequestMachine machine = answering(plan, 1);
        assertThat(mActions).contains(new RequestAction.HoldChunk(FIRST, 0));
        assertThat(mActions).doesNotContain(new RequestAction.RelayHead(FIRST));

        handle(machine, new RequestEvent.AttemptFailed(FIRST, AttemptEnd.CUT));

        assertThat(machine.state()).isEqualTo(RequestState.QUEUED);
    }

    @Test
    void eventsOfAnOldAttemptAreDroppedAndCounted() {
        RequestMachine machine = sent(idempotent());
        handle(machine, new RequestEvent.AttemptFailed(FIRST, AttemptEnd.LOST_BEFORE_HEAD));
        handle(machine, new RequestEvent.SlotGranted(UPSTREAM_B, SECOND));
        handle(machine, new RequestEvent.ReadyToSend(SECOND));

        mActions.clear();
        handle(machine, new RequestEvent.HeadReceived(FIRST));
        handle(machine, new RequestEvent.ChunkReceived(FIRST, 0));
        handle(machine, new RequestEvent.EndReceived(FIRST));

        assertThat(mActions).isEmpty();
        assertThat(machine.droppedEvents()).isEqualTo(3);
    }

    @Test
    void deadlineBetweenGrantAndSendIsReportedAsNotRunAndPreventsTheSend() {
        RequestMachine machine = granted(unclaimed());
        mActions.addAll(machine.handle(new RequestEvent.DeadlinePassed(), DEADLINE_MILLIS));

        assertThat(error().kind()).isEqualTo(ErrorKind.DEADLINE_BEFORE_START);
        assertThat(machine.handle(new RequestEvent.ReadyToSend(FIRST), DEADLINE_MILLIS)).isEmpty();
    }

    @Test
    void doesNotSendIfTheProcessWasPausedPastTheDeadline() {
        RequestMachine machine = granted(unclaimed());

        mActions.addAll(machine.handle(new RequestEvent.ReadyToSend(FIRST), DEADLINE_MILLIS + 1));

        assertThat(mActions).doesNotContain(new RequestAction.Send(FIRST, UPSTREAM_A));
        assertThat(error().kind()).isEqualTo(ErrorKind.DEADLINE_BEFORE_START);
    }

    @Test
    void requestIsQueuedOnlyAfterItsClaimIsWon() {
        RequestMachine machine = claiming();
        assertThat(mActions).containsExactly(new RequestAction.AppendClaim(CLAIM));

        handle(machine, new RequestEvent.ClaimDecided(new ClaimVerdict.Won()));

        assertThat(machine.state()).isEqualTo(RequestState.QUEUED);
    }

    @Test
    void requestWhoseClaimIsWonAfterItsRefusalIsNotRun() {
        RequestMachine machine = claiming();
        handle(machine, new RequestEvent.Refused(ErrorKind.LOG_UNAVAILABLE, 5_000));
        assertThat(mActions)
                .contains(new RequestAction.RecordClaimOutcome(CLAIM, ClaimOutcome.NOT_RUN));

        mActions.clear();
        handle(machine, new RequestEvent.ClaimDecided(new ClaimVerdict.Won()));

        assertThat(mActions).isEmpty();
        assertThat(machine.droppedEvents()).isEqualTo(1);
    }

    @Test
    void keptAnswerIsFetchedFromTheHolder() {
        RequestMachine machine = claiming();
        InstanceId holder = new InstanceId("r2");
        handle(machine, new RequestEvent.ClaimDecided(new ClaimVerdict.AlreadyRun(holder, FIRST)));
        assertThat(mActions).endsWith(new RequestAction.FetchKeptAnswer(holder, FIRST));

        handle(machine, new RequestEvent.KeptAnswerFound());

        assertThat(mActions).endsWith(new RequestAction.AnswerKept());
    }

    @Test
    void keptAnswerIsFetchedBeforeTheLogHoldsTheOutcome() {
        RequestMachine machine = claiming();
        InstanceId holder = new InstanceId("r2");
        handle(machine, new RequestEvent.ClaimDecided(new ClaimVerdict.InProgress(holder, FIRST)));
        assertThat(mActions).endsWith(new RequestAction.FetchKeptAnswer(holder, FIRST));

        handle(machine, new RequestEvent.KeptAnswerFound());

        assertThat(mActions).endsWith(new RequestAction.AnswerKept());
    }

    @Test
    void requestRunUnderAnEarlierClaimIsNotReportedAsNotRun() {
        for (RequestEvent end :
                List.of(new RequestEvent.DeadlinePassed(), new RequestEvent.Stopping())) {
            RequestMachine machine = claiming();
            InstanceId holder = new InstanceId("r2");
            handle(
                    machine,
                    new RequestEvent.ClaimDecided(new ClaimVerdict.AlreadyRun(holder, FIRST)));

            handle(machine, end);

            assertThat(error().kind()).isEqualTo(ErrorKind.ALREADY_RUN);
        }
    }

    @Test
    void outcomeOfAClaimIsRecordedBeforeTheAnswerIsSent() {
        RequestMachine machine = claiming();
        handle(machine, new RequestEvent.ClaimDecided(new ClaimVerdict.Won()));
        send(machine);
        handle(machine, new RequestEvent.HeadReceived(FIRST));

        handle(machine, new RequestEvent.EndReceived(FIRST));

        assertThat(mActions)
                .containsSubsequence(
                        new RequestAction.RecordClaimOutcome(CLAIM, ClaimOutcome.DONE),
                        new RequestAction.AnswerComplete(FIRST));
    }

    @Test
    void lostClaimRecordsNoOutcome() {
        RequestMachine machine = claiming();
        InstanceId holder = new InstanceId("r2");

        handle(machine, new RequestEvent.ClaimDecided(new ClaimVerdict.InProgress(holder, FIRST)));
        handle(machine, new RequestEvent.KeptAnswerMissing());

        assertThat(mActions.get(mActions.size() - 1)).isEqualTo(error());
        assertThat(error().kind()).isEqualTo(ErrorKind.CLAIM_IN_PROGRESS);
    }

    @Test
    void claimedRequestContinuesAfterItsCallerDisconnects() {
        RequestMachine machine = claiming();
        handle(machine, new RequestEvent.ClaimDecided(new ClaimVerdict.Won()));
        send(machine);
        handle(machine, new RequestEvent.CallerGone());
        handle(machine, new RequestEvent.HeadReceived(FIRST));

        handle(machine, new RequestEvent.EndReceived(FIRST));

        assertThat(mActions)
                .endsWith(new RequestAction.RecordClaimOutcome(CLAIM, ClaimOutcome.DONE));
    }

    @Test
    void stopRefusesQueuedRequestsAndLetsSentOnesFinish() {
        RequestMachine waiting = new RequestMachine(idempotent(), now -> true);
        handle(waiting, new RequestEvent.Admitted());
        handle(waiting, new RequestEvent.Stopping());
        assertThat(error().kind()).isEqualTo(ErrorKind.NOT_READY);

        RequestMachine running = sent(idempotent());
        handle(running, new RequestEvent.Stopping());
        assertThat(running.state()).isEqualTo(RequestState.SENT);
    }

    @Test
    void slotGrantedAfterTheEndIsReleased() {
        RequestMachine machine = new RequestMachine(idempotent(), now -> true);
        handle(machine, new RequestEvent.Admitted());
        handle(machine, new RequestEvent.CallerGone());

        mActions.clear();
        handle(machine, new RequestEvent.SlotGranted(UPSTREAM_A, FIRST));

        assertThat(mActions)
                .containsExactly(new RequestAction.ReleaseSlot(AttemptOutcome.CANCELLED));
    }

    private static RequestPlan idempotent() {
        return new RequestPlan(true, true, true, Optional.empty(), DEADLINE_MILLIS);
    }

    private static RequestPlan unclaimed() {
        return new RequestPlan(false, false, false, Optional.empty(), DEADLINE_MILLIS);
    }

    private RequestMachine claiming() {
        RequestPlan plan =
                new RequestPlan(false, false, false, Optional.of(CLAIM), DEADLINE_MILLIS);
        RequestMachine machine = new RequestMachine(plan, now -> true);
        handle(machine, new RequestEvent.Admitted());
        return machine;
    }

    private RequestMachine granted(RequestPlan plan) {
        RequestMachine machine = new RequestMachine(plan, now -> true);
        handle(machine, new RequestEvent.Admitted());
        handle(machine, new RequestEvent.SlotGranted(UPSTREAM_A, FIRST));
        return machine;
    }

    private RequestMachine sent(RequestPlan plan) {
        RequestMachine machine = new RequestMachine(plan, now -> true);
        send(machine);
        return machine;
    }

    private RequestMachine answering(RequestPlan plan, int chunks) {
        RequestMachine machine = sent(plan);
        handle(machine, new RequestEvent.HeadReceived(FIRST));
        for (int index = 0; index < chunks; index++) {
            handle(machine, new RequestEvent.ChunkReceived(FIRST, index));
        }
        return machine;
    }

    private void send(RequestMachine machine) {
        if (machine.state() == RequestState.RECEIVED) {
            handle(machine, new RequestEvent.Admitted());
        }
        handle(machine, new RequestEvent.SlotGranted(UPSTREAM_A, FIRST));
        handle(machine, new RequestEvent.ReadyToSend(FIRST));
    }

    private void handle(RequestMachine machine, RequestEvent event) {
        mActions.addAll(machine.handle(event, 0));
    }

    private RequestAction.AnswerError error() {
        return mActions.stream()
                .filter(RequestAction.AnswerError.class::isInstance)
                .map(RequestAction.AnswerError.class::cast)
                .reduce((first, last) -> last)
                .orElseThrow();
    }
}
