package org.magnoliapick.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliapick.quarantine.QuarantineChange.Kind;

/** Guards what instances tell each other of suspects. */
final class SuspectExchangeTest extends QuarantineFixture {
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
        assertThat(other.find(other("bad"), 3_000)).isPresent();
        other.recordAnswer(other("bad"), 3_500);
        send(other, mQuarantine, version);
        assertThat(isRefused(3_500, "bad")).isFalse();
    }

    /** The answer here came after the crash that another instance reports late. */
    @Test
    void refutesAReportedCrashThatAnAnswerFollowed() {
        PromptQuarantine other = new PromptQuarantine();
        crash(other, 101, "1", 1_000, "part");
        mQuarantine.recordAnswer(other("part"), 1_500);
        send(other, mQuarantine, 0);
        assertThat(mQuarantine.suspectedCount(SuspectKey.Kind.PART)).isZero();
        send(mQuarantine, other, 0);
        assertThat(other.suspectedCount(SuspectKey.Kind.PART)).isZero();
    }

    /** Most instances of a large fleet relayed no request with the part shortly before. */
    @Test
    void anAnswerOfAnotherInstanceShortlyBeforeACrashSpeaksForThePart() {
        PromptQuarantine other = new PromptQuarantine();
        other.recordAnswer(other("part"), 900);
        crash("1", 1_000, "part");
        send(mQuarantine, other, 0);
        assertThat(other.suspectedCount(SuspectKey.Kind.PART)).isZero();
        send(other, mQuarantine, 0);
        assertThat(mQuarantine.suspectedCount(SuspectKey.Kind.PART)).isZero();
    }

    @Test
    void anAnswerLongBeforeACrashDoesNotSpeakForThePart() {
        PromptQuarantine other = new PromptQuarantine();
        other.recordAnswer(other("part"), 900);
        crash("1", 1_000, "part");
        crash("2", 5_000, "part");
        send(mQuarantine, other, 0);
        assertThat(other.takeChanges())
                .filteredOn(each -> each.kind() == Kind.REFUTED)
                .extracting(QuarantineChange::crashes)
                .containsExactly(1);
    }

    /** So many requests were lost in one crash that not all that were refuted were kept. */
    @Test
    void keepsRefutationsOfManySuspects() {
        PromptQuarantine other = new PromptQuarantine();
        for (int i = 0; i < 300; i++) {
            crash("request-" + i, 1_000, "part-" + i);
            other.recordAnswer(other("part-" + i), 1_200);
        }
        exchange(mQuarantine, other);
        assertThat(other.suspectedCount(SuspectKey.Kind.PART)).isZero();
        exchange(other, mQuarantine);
        assertThat(mQuarantine.suspectedCount(SuspectKey.Kind.PART)).isZero();
    }

    private static void exchange(PromptQuarantine from, PromptQuarantine to) {
        long version = 0;
        while (from.updateFor(version).isPresent()) {
            version = send(from, to, version);
        }
    }

    @Test
    void sendsTheMostAccusedFirst() {
        crash("1", 1_000, "bad");
        for (int i = 0; i < 100; i++) {
            crash("request", 1_000, "part-" + i);
        }
        crash("2", 2_000, "bad");
        SuspectUpdate update = mQuarantine.updateFor(0).orElseThrow();
        assertThat(update.suspects())
                .extracting(SuspectReport::key)
                .contains(new SuspectKey("s", SuspectKey.Kind.PART, "bad"));
    }

    @Test
    void sendsManyPartsInSeveralUpdates() {
        for (int i = 0; i < 40; i++) {
            crash("request", 1_000, "part-" + i);
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
        assertThat(other.suspectedCount(SuspectKey.Kind.PART)).isEqualTo(40);
        assertThat(updates).isEqualTo(3);
    }

    @Test
    void sendsEverythingToAnInstanceThatKnewAnEarlierIncarnation() {
        crash("1", 1_000, "bad");
        assertThat(mQuarantine.updateFor(1_000)).isPresent();
    }

    /** Others that changed before were answered, so that their crashes matter little. */
    @Test
    void sendsTheMostAccusedBeforeThoseThatWereRefuted() {
        for (int i = 0; i < 34; i++) {
            crash("request", 1_000, "part-" + i);
        }
        for (int i = 0; i < 5; i++) {
            for (int j = 0; j < 8; j++) {
                crash("request", 1_000 + 300 * j, "refuted-" + i);
            }
            mQuarantine.recordAnswer(other("refuted-" + i), 4_000);
        }
        threeCrashes("bad");
        assertThat(mQuarantine.updateFor(0).orElseThrow().suspects())
                .extracting(each -> each.key().id())
                .contains("bad")
                .anyMatch(each -> each.startsWith("refuted"));
    }

    @Test
    void countsReportsOfOneCrashOnceInAnyOrder() {
        for (int millis : new int[] {1_900, 1_000, 1_500, 1_900, 1_000}) {
            crash(mQuarantine, 1, "same", millis);
        }
        assertThat(mQuarantine.updateFor(0).orElseThrow().suspects().get(0).sightings())
                .extracting(Sighting::atMillis)
                .containsExactly(1_000L);
    }

    /** Updates travel as single datagrams. */
    @Test
    void boundsTheCrashesOfAnUpdate() {
        for (int i = 0; i < 40; i++) {
            for (int j = 0; j < 8; j++) {
                crash("request-" + j, 1_000 + 300 * j, "part-" + i);
            }
        }
        PromptQuarantine other = new PromptQuarantine();
        long version = 0;
        Optional<SuspectUpdate> update = mQuarantine.updateFor(version);
        while (update.isPresent()) {
            int crashes =
                    update.get().suspects().stream()
                            .mapToInt(each -> each.sightings().size())
                            .sum();
            assertThat(crashes).isLessThanOrEqualTo(32);
            version = send(mQuarantine, other, version);
            update = mQuarantine.updateFor(version);
        }
        assertThat(other.suspectedCount(SuspectKey.Kind.PART)).isEqualTo(40);
        assertThat(other.quarantinedCount(SuspectKey.Kind.PART, 4_000)).isEqualTo(40);
    }

    /** Sends what the receiver lacks; returns the version that it knows then. */
}
