package org.magnoliapick.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.quarantine.QuarantineChange.Kind;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.RequestContent;

final class PromptQuarantineTest extends QuarantineFixture {
    @Test
    void quarantinesAPartAfterThreeCrashesWithoutAnAnswer() {
        crash("1", 1_000, "bad");
        crash("2", 2_000, "bad");
        assertThat(isRefused(2_500, "bad")).isFalse();
        crash("3", 3_000, "bad");
        Quarantine quarantine = mQuarantine.find(other("x", "bad"), 3_000).orElseThrow();
        assertThat(quarantine)
                .isEqualTo(
                        new Quarantine(
                                new SuspectKey("s", SuspectKey.Kind.PART, "bad"),
                                3,
                                3_000 + MINUTE_MILLIS));
        assertThat(isRefused(3_000, "good")).isFalse();
        assertThat(
                        mQuarantine.find(
                                new RequestContent("other", prompt("bad"), Fingerprint.UNKNOWN),
                                3_000))
                .isEmpty();
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
                    content("request-" + i), new UpstreamId("u" + i), 1, 1_000L * i, 1_000L * i);
        }
        assertThat(mQuarantine.suspectedCount(SuspectKey.Kind.PART)).isZero();
    }

    @Test
    void anAnswerRefutesEarlierCrashes() {
        crash("1", 1_000, "part");
        crash("2", 2_000, "part");
        mQuarantine.recordAnswer(other("part"), 2_500);
        crash("3", 9_000, "part");
        assertThat(isRefused(9_000, "part")).isFalse();
        assertThat(mQuarantine.takeChanges())
                .filteredOn(each -> each.key().kind() == SuspectKey.Kind.PART)
                .extracting(QuarantineChange::kind)
                .containsExactly(Kind.SUSPECTED, Kind.SUSPECTED, Kind.REFUTED, Kind.SUSPECTED);
    }

    @Test
    void anAnswerEndsAQuarantine() {
        threeCrashes("part");
        mQuarantine.recordAnswer(other("part"), 3_100);
        assertThat(isRefused(3_100, "part")).isFalse();
    }

    @Test
    void anAnswerShortlyBeforeACrashSpeaksForThePart() {
        mQuarantine.recordAnswer(other("part"), 900);
        crash("1", 1_000, "part");
        assertThat(mQuarantine.suspectedCount(SuspectKey.Kind.PART)).isZero();
    }

    @Test
    void quarantinesAPartThatWasAnsweredLongBefore() {
        mQuarantine.recordAnswer(other("part"), 0);
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
        mQuarantine.recordAnswer(other("sound"), 4_100);
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
        assertThat(mQuarantine.mayRetry(content("1", "first", "bad"))).isTrue();
        crash("1", 1_000, "first", "bad");
        assertThat(mQuarantine.mayRetry(content("2", "first", "bad"))).isFalse();
        mQuarantine.recordAnswer(other("first"), 1_100);
        assertThat(mQuarantine.mayRetry(content("3", "first"))).isTrue();
    }

    @Test
    void doesNotRetryARepetitionOfARequestThatCrashedAnUpstream() {
        crash("1", 1_000);
        assertThat(mQuarantine.mayRetry(content("1"))).isFalse();
        assertThat(mQuarantine.mayRetry(content("2"))).isTrue();
    }

    @Test
    void quarantinesARequestWhoseRepetitionsCrashUpstreams() {
        for (int i = 1; i <= 3; i++) {
            assertThat(mQuarantine.find(content("same"), 1_000 * i)).isEmpty();
            crash("same", 1_000 * i);
        }
        assertThat(mQuarantine.find(content("same"), 3_000).map(Quarantine::endMillis))
                .contains(3_000 + MINUTE_MILLIS);
        assertThat(isRefused(3_000)).isFalse();
    }

    /** Guards against attempts that follow each other at once and are taken for one crash. */
    @Test
    void quarantinesARequestThatCrashedSeveralUpstreamsAtOnce() {
        for (int i = 0; i < 4; i++) {
            crash("same", 1_000 + 30 * i);
        }
        assertThat(mQuarantine.find(content("same"), 3_000)).isPresent();
        assertThat(isRefused(3_000)).isFalse();
    }

    /** Repetitions that run at once may be lost by a common cause of the crashes. */
    @Test
    void probesARequestSoonWhoseCrashesWereAtOneTimeOnly() {
        for (int i = 0; i < 3; i++) {
            crash("same", 1_000);
        }
        assertThat(mQuarantine.admit(content("same"), 10_999)).isPresent();
        assertThat(mQuarantine.admit(content("same"), 11_000)).isEmpty();
        assertThat(mQuarantine.admit(content("same"), 11_001)).isPresent();
        crash("same", 11_050);
        assertThat(mQuarantine.find(content("same"), 11_050).map(Quarantine::endMillis))
                .contains(11_050 + MINUTE_MILLIS);
    }

    /** Sound requests share these parts, or will. */
    @Test
    void servesThePartsOfARequestWhoseRepetitionsCrashUpstreams() {
        for (int i = 1; i <= 5; i++) {
            crash("same", 1_000 * i, "first", "second");
        }
        assertThat(mQuarantine.find(content("same", "first", "second"), 5_000)).isPresent();
        assertThat(isRefused(5_000, "first", "second")).isFalse();
        assertThat(isRefused(5_000, "first")).isFalse();
    }

    /** Only some of the requests of a crash are kept. */
    @Test
    void servesASoundPartOfManyRequestsThatARepeatedOneTookAlong() {
        for (int i = 1; i <= 3; i++) {
            ++mLastUpstream;
            for (int j = 0; j < 20; j++) {
                crash(mQuarantine, mLastUpstream, "victim-" + i + "-" + j, 1_000 * i, "part");
            }
            crash(mQuarantine, mLastUpstream, "same", 1_000 * i, "part");
        }
        assertThat(mQuarantine.find(content("same", "part"), 3_000)).isPresent();
        assertThat(isRefused(3_000, "part")).isFalse();
    }

    @Test
    void findsAPoisonPartBesideARepeatedRequestThatHasIt() {
        crash("same", 1_000, "bad");
        crash("same", 2_000, "bad");
        crash("3", 3_000, "bad");
        assertThat(isRefused(3_000, "bad")).isTrue();
    }

    @Test
    void anAnswerToARepetitionRefutesEarlierCrashes() {
        crash("same", 1_000);
        crash("same", 2_000);
        mQuarantine.recordAnswer(content("same"), 2_500);
        crash("same", 9_000);
        assertThat(mQuarantine.find(content("same"), 9_000)).isEmpty();
    }

    @Test
    void sendsSingleProbesOfARepeatedRequestAfterTheEnd() {
        for (int i = 1; i <= 3; i++) {
            crash("same", 1_000 * i);
        }
        assertThat(mQuarantine.admit(content("same"), 62_000)).isPresent();
        assertThat(mQuarantine.admit(content("same"), 63_000)).isEmpty();
        assertThat(mQuarantine.admit(content("same"), 63_001)).isPresent();
        assertThat(mQuarantine.admit(content("other"), 63_001)).isEmpty();
    }

    /** An upstream that crashes may take hundreds of requests with it. */
    @Test
    void manyLostRequestsDoNotCrowdOutPartsNorTheRepeatedOne() {
        crash("1", 1_000, "bad");
        crash("same", 1_000);
        for (int i = 0; i < 1_000; i++) {
            crash("lost-" + i, 1_100);
        }
        crash("2", 2_000, "bad");
        crash("same", 2_000);
        for (int i = 1_000; i < 2_000; i++) {
            crash("lost-" + i, 2_100);
        }
        crash("3", 3_000, "bad");
        crash("same", 3_000);
        assertThat(isRefused(3_000, "bad")).isTrue();
        assertThat(mQuarantine.find(content("same"), 3_000)).isPresent();
    }

    @Test
    void sendsSingleProbesAfterTheEnd() {
        threeCrashes("bad");
        assertThat(mQuarantine.admit(other("bad"), 62_000)).isPresent();
        assertThat(mQuarantine.admit(other("bad"), 63_000)).isEmpty();
        assertThat(mQuarantine.admit(other("bad"), 63_001).map(Quarantine::endMillis))
                .contains(73_000L);
        assertThat(mQuarantine.admit(other("bad"), 73_000)).isEmpty();
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
        assertThat(mQuarantine.suspectedCount(SuspectKey.Kind.PART)).isZero();
        assertThat(mQuarantine.admit(other("bad"), 700_000)).isEmpty();
        assertThat(mQuarantine.admit(other("bad"), 700_000)).isEmpty();
    }

    @Test
    void keepsThePartsWithMostCrashesWhenThereAreTooMany() {
        crash("1", 1_000, "bad");
        crash("2", 2_000, "bad");
        for (int i = 0; i < 2_000; i++) {
            crash("sound-" + i, 2_100, "part-" + i);
        }
        assertThat(mQuarantine.suspectedCount(SuspectKey.Kind.PART)).isEqualTo(1_024);
        crash("3", 3_000, "bad");
        assertThat(isRefused(3_000, "bad")).isTrue();
    }

    /** An answer elsewhere may be under way while the third crash is reported. */
    @Test
    void beginsAQuarantineOnceOtherInstancesHadTimeToRefuteIt() {
        crash("1", 1_000, "part");
        crash("2", 1_300, "part");
        crash("3", 1_600, "part");
        assertThat(isRefused(1_600, "part")).isFalse();
        PromptQuarantine other = new PromptQuarantine();
        other.recordAnswer(other("part"), 1_700);
        send(mQuarantine, other, 0);
        send(other, mQuarantine, 0);
        assertThat(isRefused(5_000, "part")).isFalse();
    }

    @Test
    void sendsSingleProbesUntilAQuarantineBegins() {
        crash("1", 1_000, "part");
        crash("2", 1_300, "part");
        crash("3", 1_600, "part");
        assertThat(mQuarantine.admit(other("part"), 1_700)).isEmpty();
        assertThat(mQuarantine.admit(other("part"), 1_800).map(Quarantine::endMillis))
                .contains(2_200L);
        assertThat(mQuarantine.admit(other("part"), 2_200)).isEmpty();
        assertThat(mQuarantine.admit(other("part"), 2_300)).isPresent();
        mQuarantine.recordAnswer(other("part"), 2_400);
        assertThat(mQuarantine.admit(other("part"), 2_400)).isEmpty();
        assertThat(mQuarantine.admit(other("part"), 2_401)).isEmpty();
    }

    @Test
    void announcesAQuarantineWhenItBegins() {
        crash("1", 1_000, "part");
        crash("2", 1_300, "part");
        crash("3", 1_600, "part");
        mQuarantine.takeChanges();
        long version = mQuarantine.version();
        mQuarantine.tick(2_999);
        assertThat(mQuarantine.takeChanges()).isEmpty();
        mQuarantine.tick(3_000);
        assertThat(isRefused(3_000, "part")).isTrue();
        assertThat(mQuarantine.takeChanges())
                .extracting(QuarantineChange::kind)
                .containsExactly(Kind.QUARANTINED);
        assertThat(mQuarantine.version()).isGreaterThan(version);
    }

    /** Only some of so many crashes are kept. */
    @Test
    void beginsAQuarantineAlthoughCrashesGoOnAllTheTime() {
        for (int i = 0; i <= 30; i++) {
            crash("same", 100 * i);
            assertThat(mQuarantine.find(content("same"), 100 * i).isPresent())
                    .isEqualTo(100 * i >= 2_000);
        }
        assertThat(mQuarantine.find(content("same"), 3_001)).isPresent();
    }

    @Test
    void doesNotCountARefusedRequestAsProbe() {
        threeCrashes("bad");
        for (int i = 1; i <= 3; i++) {
            crash("same", 1_000 * i);
        }
        mQuarantine.takeChanges();
        assertThat(mQuarantine.admit(content("same"), 63_000)).isEmpty();
        assertThat(mQuarantine.admit(content("same", "bad"), 63_100)).isPresent();
        assertThat(mQuarantine.admit(other("bad"), 63_200)).isEmpty();
        assertThat(mQuarantine.takeChanges())
                .extracting(change -> change.key().kind())
                .containsExactly(SuspectKey.Kind.FINGERPRINT, SuspectKey.Kind.PART);
    }

    @Test
    void doesNotRetryARepetitionThatWasAnsweredLongBeforeItsCrash() {
        mQuarantine.recordAnswer(content("1"), 0);
        crash("1", 60_000);
        assertThat(mQuarantine.mayRetry(content("1"))).isFalse();
        mQuarantine.recordAnswer(content("1"), 61_000);
        assertThat(mQuarantine.mayRetry(content("1"))).isTrue();
    }

    /** A single crash takes sound requests with it, of which many share a part. */
    @Test
    void doesNotRetryAPartThatWasAnsweredLongBeforeSeveralCrashes() {
        mQuarantine.recordAnswer(other("part"), 0);
        crash("1", 60_000, "part");
        assertThat(mQuarantine.mayRetry(content("3", "part"))).isTrue();
        crash("2", 61_000, "part");
        assertThat(mQuarantine.mayRetry(content("3", "part"))).isFalse();
    }

    /** An upstream that restarts quickly is listed as if it had run on. */
    @Test
    void countsLaterCrashesOfTheSameUpstreamAgain() {
        for (int i = 1; i <= 3; i++) {
            crash(mQuarantine, 1, "same", 3_000 * i);
        }
        assertThat(mQuarantine.find(content("same"), 9_000)).isPresent();
    }

    @Test
    void remembersRecentAnswersOfABusyInstance() {
        for (int i = 0; i < 5_000; i++) {
            mQuarantine.recordAnswer(content("request-" + i), 1_000 + i / 5);
        }
        crash("request-0", 2_100);
        assertThat(mQuarantine.suspectedCount(SuspectKey.Kind.FINGERPRINT)).isZero();
    }

    /** An older build does not tell what a request consists of. */
    @Test
    void doesNotSuspectRequestsOfUnknownContent() {
        RequestContent unknown = new RequestContent("s", prompt("part"), Fingerprint.UNKNOWN);
        for (int i = 1; i <= 5; i++) {
            mQuarantine.recordCrash(unknown, new UpstreamId("u" + i), 1, 1_000L * i, 1_000L * i);
        }
        assertThat(mQuarantine.suspectedCount(SuspectKey.Kind.FINGERPRINT)).isZero();
        assertThat(mQuarantine.find(unknown, 5_000)).isEmpty();
        assertThat(mQuarantine.admit(unknown, 5_000)).isEmpty();
    }
}
