package org.magnoliapick.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.quarantine.QuarantineChange.Kind;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;

final class PromptQuarantineTest {
    private static final long MINUTE_MILLIS = 60_000;

    private final PromptQuarantine mQuarantine = new PromptQuarantine();
    private int mLastUpstream;

    private static Prompt prompt(String... parts) {
        List<PromptPart> list = new ArrayList<>();
        for (String each : parts) {
            list.add(new PromptPart(each, 100));
        }
        list.add(new PromptPart("own", 100));
        return new Prompt(1_000, 10, list);
    }

    /** Records that a request made another upstream crash. */
    private static void crash(
            PromptQuarantine quarantine,
            int upstream,
            String request,
            long millis,
            String... parts) {
        quarantine.recordCrash(
                "s", prompt(parts), request, new UpstreamId("u" + upstream), 1, millis);
    }

    private void crash(String request, long millis, String... parts) {
        crash(mQuarantine, ++mLastUpstream, request, millis, parts);
    }

    private boolean isRefused(long millis, String... parts) {
        return mQuarantine.find("s", prompt(parts), millis).isPresent();
    }

    @Test
    void quarantinesAPartAfterThreeCrashesWithoutAnAnswer() {
        crash("1", 1_000, "bad");
        crash("2", 2_000, "bad");
        assertThat(isRefused(2_500, "bad")).isFalse();
        crash("3", 3_000, "bad");
        Quarantine quarantine = mQuarantine.find("s", prompt("x", "bad"), 3_000).orElseThrow();
        assertThat(quarantine)
                .isEqualTo(new Quarantine(new PartKey("s", "bad"), 3, 3_000 + MINUTE_MILLIS));
        assertThat(isRefused(3_000, "good")).isFalse();
        assertThat(mQuarantine.find("other", prompt("bad"), 3_000)).isEmpty();
    }

    @Test
    void countsACrashOnceWhoeverReportsIt() {
        for (int i = 0; i < 5; i++) {
            crash(mQuarantine, 1, "request-" + i, 1_000 + 300 * i, "bad");
        }
        assertThat(isRefused(3_000, "bad")).isFalse();
    }

    /** Upstreams that crash together share a cause that is not in their requests. */
    @Test
    void countsSimultaneousCrashesOnce() {
        for (int i = 0; i < 10; i++) {
            crash("request-" + i, 1_000 + 20 * i, "bad");
        }
        assertThat(isRefused(3_000, "bad")).isFalse();
    }

    @Test
    void needsCrashesOfDifferentRequests() {
        for (int i = 0; i < 5; i++) {
            crash("same", 1_000 * i, "bad");
        }
        assertThat(isRefused(5_000, "bad")).isFalse();
    }

    @Test
    void doesNotSuspectThePartOfItsOwnAtTheEnd() {
        for (int i = 0; i < 5; i++) {
            mQuarantine.recordCrash(
                    "s", prompt(), "request-" + i, new UpstreamId("u" + i), 1, 1_000L * i);
        }
        assertThat(mQuarantine.suspectedCount()).isZero();
    }

    @Test
    void anAnswerRefutesEarlierCrashes() {
        crash("1", 1_000, "part");
        crash("2", 2_000, "part");
        mQuarantine.recordAnswer("s", prompt("part"), 2_500);
        crash("3", 9_000, "part");
        assertThat(isRefused(9_000, "part")).isFalse();
        assertThat(mQuarantine.takeChanges())
                .extracting(QuarantineChange::kind)
                .containsExactly(Kind.SUSPECTED, Kind.SUSPECTED, Kind.REFUTED, Kind.SUSPECTED);
    }

    @Test
    void anAnswerEndsAQuarantine() {
        threeCrashes("part");
        mQuarantine.recordAnswer("s", prompt("part"), 3_100);
        assertThat(isRefused(3_100, "part")).isFalse();
    }

    private void threeCrashes(String... parts) {
        crash("1", 1_000, parts);
        crash("2", 2_000, parts);
        crash("3", 3_000, parts);
    }

    @Test
    void anAnswerShortlyBeforeACrashSpeaksForThePart() {
        mQuarantine.recordAnswer("s", prompt("part"), 900);
        crash("1", 1_000, "part");
        assertThat(mQuarantine.suspectedCount()).isZero();
    }

    @Test
    void quarantinesAPartThatWasAnsweredLongBefore() {
        mQuarantine.recordAnswer("s", prompt("part"), 0);
        crash("1", 4_000, "part");
        crash("2", 5_000, "part");
        crash("3", 6_000, "part");
        assertThat(isRefused(6_000, "part")).isTrue();
    }

    /** Requests with only the sound one of two parts tell which part is the poison. */
    @Test
    void servesASoundPartThatAlwaysOccurredWithAPoisonPart() {
        threeCrashes("sound", "bad");
        assertThat(isRefused(4_000, "sound", "bad")).isTrue();
        assertThat(isRefused(4_000, "sound")).isFalse();
        mQuarantine.recordAnswer("s", prompt("sound"), 4_100);
        assertThat(isRefused(4_200, "bad")).isTrue();
        assertThat(isRefused(4_200, "other", "bad")).isTrue();
    }

    @Test
    void findsThePoisonPartByACrashWithoutItsCompanion() {
        threeCrashes("sound", "bad");
        assertThat(isRefused(4_000, "bad")).isFalse();
        crash("4", 4_000, "bad");
        assertThat(isRefused(4_000, "bad")).isTrue();
    }

    @Test
    void doesNotRetryARequestThatRepeatsAnotherOnesCrash() {
        assertThat(mQuarantine.mayRetry("s", prompt("bad"), "1")).isTrue();
        crash("1", 1_000, "first", "bad");
        assertThat(mQuarantine.mayRetry("s", prompt("first", "bad"), "1")).isTrue();
        assertThat(mQuarantine.mayRetry("s", prompt("first", "bad"), "2")).isFalse();
        mQuarantine.recordAnswer("s", prompt("first"), 1_100);
        assertThat(mQuarantine.mayRetry("s", prompt("first"), "3")).isTrue();
    }

    @Test
    void sendsSingleProbesAfterTheEnd() {
        threeCrashes("bad");
        assertThat(mQuarantine.admit("s", prompt("bad"), 62_000)).isPresent();
        assertThat(mQuarantine.admit("s", prompt("bad"), 63_000)).isEmpty();
        assertThat(mQuarantine.admit("s", prompt("bad"), 63_001).map(Quarantine::endMillis))
                .contains(73_000L);
        assertThat(mQuarantine.admit("s", prompt("bad"), 73_000)).isEmpty();
    }

    @Test
    void lastsLongerAfterAProbeThatCrashes() {
        threeCrashes("bad");
        crash("probe", 70_000, "bad");
        assertThat(isRefused(70_000 + 2 * MINUTE_MILLIS - 1, "bad")).isTrue();
        assertThat(isRefused(70_000 + 2 * MINUTE_MILLIS, "bad")).isFalse();
    }

    @Test
    void forgetsOldCrashes() {
        threeCrashes("bad");
        mQuarantine.tick(3_000 + 10 * MINUTE_MILLIS);
        assertThat(mQuarantine.suspectedCount()).isZero();
        assertThat(mQuarantine.admit("s", prompt("bad"), 700_000)).isEmpty();
        assertThat(mQuarantine.admit("s", prompt("bad"), 700_000)).isEmpty();
    }

    @Test
    void keepsThePartsWithMostCrashesWhenThereAreTooMany() {
        crash("1", 1_000, "bad");
        crash("2", 2_000, "bad");
        for (int i = 0; i < 1_000; i++) {
            crash("sound-" + i, 2_100, "part-" + i);
        }
        assertThat(mQuarantine.suspectedCount()).isEqualTo(64);
        crash("3", 3_000, "bad");
        assertThat(isRefused(3_000, "bad")).isTrue();
    }

    @Test
    void exchangesWhatItKnows() {
        PromptQuarantine other = new PromptQuarantine();
        crash("1", 1_000, "bad");
        crash(other, 101, "2", 2_000, "bad");
        crash(other, 102, "3", 3_000, "bad");
        long version = send(other, mQuarantine, 0);
        assertThat(isRefused(3_000, "bad")).isTrue();
        assertThat(other.updateFor(version)).isEmpty();
        send(mQuarantine, other, 0);
        assertThat(other.find("s", prompt("bad"), 3_000)).isPresent();
        other.recordAnswer("s", prompt("bad"), 3_500);
        send(other, mQuarantine, version);
        assertThat(isRefused(3_500, "bad")).isFalse();
    }

    /** The answer here came after the crash that another instance reports late. */
    @Test
    void refutesAReportedCrashThatAnAnswerFollowed() {
        PromptQuarantine other = new PromptQuarantine();
        crash(other, 101, "1", 1_000, "part");
        mQuarantine.recordAnswer("s", prompt("part"), 1_500);
        send(other, mQuarantine, 0);
        assertThat(mQuarantine.suspectedCount()).isZero();
        send(mQuarantine, other, 0);
        assertThat(other.suspectedCount()).isZero();
    }

    @Test
    void sendsManyPartsInSeveralUpdates() {
        for (int i = 0; i < 40; i++) {
            crash("request-" + i, 1_000, "part-" + i);
        }
        PromptQuarantine other = new PromptQuarantine();
        long version = 0;
        int updates = 0;
        Optional<SuspectUpdate> update = mQuarantine.updateFor(version);
        while (update.isPresent()) {
            assertThat(update.get().suspects()).hasSizeLessThanOrEqualTo(16);
            version = send(mQuarantine, other, version);
            updates++;
            update = mQuarantine.updateFor(version);
        }
        assertThat(other.suspectedCount()).isEqualTo(40);
        assertThat(updates).isEqualTo(3);
    }

    @Test
    void sendsEverythingToAnInstanceThatKnewAnEarlierIncarnation() {
        crash("1", 1_000, "bad");
        assertThat(mQuarantine.updateFor(1_000)).isPresent();
    }

    /** Sends what the receiver lacks; returns the version that it knows then. */
    private static long send(PromptQuarantine from, PromptQuarantine to, long knownVersion) {
        SuspectUpdate update = from.updateFor(knownVersion).orElseThrow();
        to.applyUpdate(update);
        return update.version();
    }
}
