package org.magnoliapick.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

final class ClaimBatcherTest {
    private static final long WINDOW_MILLIS = 3_600_000;
    private static final long MAX_RUN_MILLIS = 600_000;
    private static final long LINGER_MILLIS = 25;
    private static final long GIVE_UP_MILLIS = 4_000;
    private static final ClaimKey KEY = new ClaimKey(new WorkspaceId("w"), "draw-7");

    private final List<byte[]> mStream = new ArrayList<>();
    private final ClaimBatcher mBatcher = newBatcher();

    @Test
    void verdictIsReportedOnlyAfterTheClaimIsReadBack() {
        ClaimAction.Append append = append(mBatcher.add(claim("x"), GIVE_UP_MILLIS, 0));

        assertThat(mBatcher.appendSucceeded(append.number(), 5)).isEmpty();
        mStream.add(ClaimCodec.encode(append.batch()));

        assertThat(read(mBatcher, 6))
                .containsExactly(
                        new ClaimAction.ReportVerdict(new AttemptId("x"), new ClaimVerdict.Won()));
    }

    @Test
    void claimsAreBatchedWhileAnAppendIsInFlight() {
        ClaimAction.Append first = append(mBatcher.add(claim("x"), GIVE_UP_MILLIS, 0));
        assertThat(mBatcher.add(claim("y"), GIVE_UP_MILLIS, 1)).isEmpty();
        assertThat(mBatcher.add(claim("z"), GIVE_UP_MILLIS, 2)).isEmpty();

        assertThat(mBatcher.appendSucceeded(first.number(), 3)).isEmpty();
        ClaimAction.Append second = append(mBatcher.tick(LINGER_MILLIS));

        assertThat(second.batch().entries()).containsExactly(claim("y"), claim("z"));
    }

    @Test
    void claimIsAppendedAgainWithTheSameIdAfterALostAppendResponse() {
        ClaimAction.Append first = append(mBatcher.add(claim("x"), GIVE_UP_MILLIS, 0));
        mBatcher.appendUnknown(first.number(), 10);

        ClaimAction.Append again = append(mBatcher.tick(10 + ClaimBatcher.BACKOFF_MILLIS));

        assertThat(again.batch()).isEqualTo(first.batch());
        mStream.add(ClaimCodec.encode(first.batch()));
        mStream.add(ClaimCodec.encode(again.batch()));
        assertThat(read(mBatcher, 300))
                .containsExactly(
                        new ClaimAction.ReportVerdict(new AttemptId("x"), new ClaimVerdict.Won()));
    }

    @Test
    void claimThatExpiresAfterAnUnknownAppendReleasesItsKeyInTheLog() {
        ClaimAction.Append first = append(mBatcher.add(claim("x"), GIVE_UP_MILLIS, 0));
        mBatcher.appendUnknown(first.number(), 10);
        List<ClaimAction> expired = mBatcher.tick(GIVE_UP_MILLIS);
        assertThat(expired).contains(new ClaimAction.Refuse(new AttemptId("x")));

        mStream.add(ClaimCodec.encode(append(expired).batch()));
        mStream.add(ClaimCodec.encode(first.batch()));

        assertThat(read(mBatcher, GIVE_UP_MILLIS + 1)).isEmpty();
        assertThat(verdictOnALaterClaim()).isEqualTo(new ClaimVerdict.Won());
    }

    @Test
    void withdrawnClaimThatAppearsLaterGetsNoVerdictAndReleasesItsKey() {
        ClaimAction.Append first = append(mBatcher.add(claim("x"), GIVE_UP_MILLIS, 0));
        mBatcher.addOutcome(notRun("x"), 5);
        List<ClaimAction> afterwards = mBatcher.appendUnknown(first.number(), 10);
        assertThat(afterwards).isEmpty();

        mStream.add(ClaimCodec.encode(first.batch()));
        ClaimAction.Append release = append(mBatcher.tick(10 + ClaimBatcher.BACKOFF_MILLIS));
        mStream.add(ClaimCodec.encode(release.batch()));

        assertThat(read(mBatcher, 400)).isEmpty();
        assertThat(verdictOnALaterClaim()).isEqualTo(new ClaimVerdict.Won());
    }

    @Test
    void claimsAreRefusedAtOnceWhileTheLogIsUnavailable() {
        failUntilUnavailable();
        long now = 3 * ClaimBatcher.BACKOFF_MILLIS;

        assertThat(mBatcher.isLogUnavailable()).isTrue();
        assertThat(mBatcher.add(claim("y"), now + GIVE_UP_MILLIS, now))
                .containsExactly(new ClaimAction.Refuse(new AttemptId("y")));
    }

    @Test
    void probeAppendDetectsThatTheLogIsAvailableAgain() {
        failUntilUnavailable();
        long now = 3 * ClaimBatcher.BACKOFF_MILLIS + ClaimBatcher.PROBE_INTERVAL_MILLIS;

        ClaimAction.Append probe = append(mBatcher.add(claim("y"), now + GIVE_UP_MILLIS, now));
        mBatcher.appendSucceeded(probe.number(), now + 5);

        assertThat(mBatcher.isLogUnavailable()).isFalse();
    }

    @Test
    void claimThatIsNotReadBackInTimeIsAppendedAgain() {
        ClaimAction.Append first = append(mBatcher.add(claim("x"), GIVE_UP_MILLIS, 0));
        mBatcher.appendSucceeded(first.number(), 5);

        ClaimAction.Append again = append(mBatcher.tick(ClaimBatcher.READ_BACK_TIMEOUT_MILLIS));

        assertThat(again.batch()).isEqualTo(first.batch());
    }

    @Test
    void recordThatIsNoValidBatchIsSkipped() {
        mStream.add(new byte[] {1, 2, 3});
        ClaimAction.Append append = append(mBatcher.add(claim("x"), GIVE_UP_MILLIS, 0));
        mStream.add(ClaimCodec.encode(append.batch()));

        assertThat(read(mBatcher, 6)).hasSize(1);
        assertThat(mBatcher.nextOffset()).isEqualTo(2);
    }

    private void failUntilUnavailable() {
        long now = 0;
        ClaimAction.Append append = append(mBatcher.add(claim("x"), GIVE_UP_MILLIS, now));
        for (int i = 1; i < ClaimBatcher.FAILURES_UNTIL_UNAVAILABLE; i++) {
            mBatcher.appendRefused(append.number(), now);
            now += ClaimBatcher.BACKOFF_MILLIS;
            append = append(mBatcher.tick(now));
        }
        mBatcher.appendRefused(append.number(), now);
    }

    private ClaimVerdict verdictOnALaterClaim() {
        ClaimBatcher other = newBatcher();
        ClaimAction.Append append = append(other.add(claim("later"), GIVE_UP_MILLIS, 0));
        mStream.add(ClaimCodec.encode(append.batch()));
        return read(other, 1).stream()
                .filter(ClaimAction.ReportVerdict.class::isInstance)
                .map(action -> ((ClaimAction.ReportVerdict) action).verdict())
                .findFirst()
                .orElseThrow();
    }

    private List<ClaimAction> read(ClaimBatcher batcher, long nowMillis) {
        List<ClaimAction> actions = new ArrayList<>();
        for (int offset = (int) batcher.nextOffset(); offset < mStream.size(); offset++) {
            actions.addAll(batcher.handleRecord(offset, 0, mStream.get(offset), nowMillis));
        }
        return actions;
    }

    private static ClaimAction.Append append(List<ClaimAction> actions) {
        return actions.stream()
                .filter(ClaimAction.Append.class::isInstance)
                .map(ClaimAction.Append.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static ClaimBatcher newBatcher() {
        return new ClaimBatcher(new ClaimLedger(WINDOW_MILLIS, MAX_RUN_MILLIS), LINGER_MILLIS);
    }

    private static ClaimEntry.Claim claim(String id) {
        return new ClaimEntry.Claim(KEY, new AttemptId(id), new InstanceId("r"), "digest");
    }

    private static ClaimEntry.Ended notRun(String id) {
        return new ClaimEntry.Ended(KEY, new AttemptId(id), ClaimOutcome.NOT_RUN);
    }
}
