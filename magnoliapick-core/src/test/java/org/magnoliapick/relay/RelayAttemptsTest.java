package org.magnoliapick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.errors.Outcome;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.route.RouteKind;

final class RelayAttemptsTest {
    private static final UpstreamId UPSTREAM = new UpstreamId("u");

    private final FleetRetryBudget mBudget = new FleetRetryBudget(0.2, 100, 10_000, 1);
    private final FleetRetryBudget mNoBudget = new FleetRetryBudget(0, 0, 10_000, 1);

    private static RelayAttempts attempts(RouteKind kind, boolean resumable) {
        RelayAttempts attempts = new RelayAttempts(Requests.request(kind, resumable));
        attempts.sent(UPSTREAM);
        return attempts;
    }

    @ParameterizedTest
    @EnumSource(AttemptEnd.class)
    void neverRunsAnUnsafeRequestTwice(AttemptEnd end) {
        RelayStep step = attempts(RouteKind.UNSAFE, false).nextStep(end, mBudget, 10);
        assertThat(step instanceof RelayStep.Retry).isEqualTo(end.provesNotRun());
    }

    @ParameterizedTest
    @EnumSource(AttemptEnd.class)
    void reportsNotRunOnlyWithProof(AttemptEnd end) {
        RelayStep step = attempts(RouteKind.UNSAFE, false).nextStep(end, mNoBudget, 3_999);
        if (step instanceof RelayStep.Fail fail) {
            assertThat(fail.kind().outcome() == Outcome.NOT_RUN).isEqualTo(end.provesNotRun());
        } else {
            assertThat(step).isInstanceOf(RelayStep.RelayFailure.class);
        }
    }

    @Test
    void refusalAfterARunIsNotReportedAsNotRun() {
        RelayAttempts attempts = attempts(RouteKind.SAFE, false);
        attempts.nextStep(AttemptEnd.FAILED, mBudget, 10);
        RelayStep step = attempts.nextStep(AttemptEnd.REFUSED, mNoBudget, 20);
        assertThat(step).isEqualTo(new RelayStep.Fail(ErrorKind.UPSTREAM_LOST));
    }

    @Test
    void retriesASafeRequestUpToTheMaximumOfAttempts() {
        RelayAttempts attempts = attempts(RouteKind.SAFE, false);
        assertThat(attempts.nextStep(AttemptEnd.FAILED, mBudget, 10))
                .isEqualTo(new RelayStep.Retry());
        assertThat(attempts.nextStep(AttemptEnd.FAILED, mBudget, 20))
                .isEqualTo(new RelayStep.RelayFailure());
    }

    @Test
    void resumesAStreamAfterTheLastRelayedEvent() {
        RelayAttempts attempts = attempts(RouteKind.STREAM, true);
        attempts.headRelayed();
        attempts.eventRelayed(12);
        assertThat(attempts.nextStep(AttemptEnd.CUT, mBudget, 10))
                .isEqualTo(new RelayStep.Resume(12));
    }

    @Test
    void aStreamWithoutGapsGoesOnAtTheNextEventOnly() {
        RelayAttempts attempts = attempts(RouteKind.STREAM, true);
        attempts.eventRelayed(1);
        attempts.eventRelayed(2);
        assertThat(attempts.mayFollow(OptionalLong.of(3))).isTrue();
        assertThat(attempts.mayFollow(OptionalLong.of(4))).isFalse();
        assertThat(attempts.mayFollow(OptionalLong.empty())).isFalse();
    }

    @Test
    void aStreamWithGapsOrUnnumberedEventsGoesOnAtAnyEvent() {
        RelayAttempts gaps = attempts(RouteKind.STREAM, true);
        gaps.eventRelayed(10);
        gaps.eventRelayed(20);
        assertThat(gaps.mayFollow(OptionalLong.of(30))).isTrue();
        RelayAttempts unnumbered = attempts(RouteKind.STREAM, true);
        unnumbered.unnumberedEventRelayed();
        assertThat(unnumbered.mayFollow(OptionalLong.empty())).isTrue();
    }

    @Test
    void mayRunAgainOnlyBeforeTheLastAttemptAndWithBudget() {
        RelayAttempts attempts = attempts(RouteKind.STREAM, true);
        assertThat(attempts.mayRunAgain(mBudget, 10)).isTrue();
        assertThat(attempts.mayRunAgain(mNoBudget, 10)).isFalse();
        attempts.nextStep(AttemptEnd.CUT, mBudget, 10);
        assertThat(attempts.mayRunAgain(mBudget, 20)).isFalse();
    }

    @Test
    void abortsAStreamThatIsNotResumable() {
        RelayAttempts attempts = attempts(RouteKind.STREAM, false);
        attempts.headRelayed();
        assertThat(attempts.nextStep(AttemptEnd.CUT, mBudget, 10))
                .isInstanceOf(RelayStep.Abort.class);
    }

    @Test
    void failsInsteadOfARetryWithoutBudget() {
        assertThat(attempts(RouteKind.SAFE, false).nextStep(AttemptEnd.CUT, mNoBudget, 10))
                .isInstanceOf(RelayStep.Fail.class);
    }
}
