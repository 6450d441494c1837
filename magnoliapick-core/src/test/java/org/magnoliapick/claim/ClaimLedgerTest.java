package org.magnoliapick.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

final class ClaimLedgerTest {
    private static final long WINDOW_MILLIS = 3_600_000;
    private static final long MAX_RUN_MILLIS = 600_000;
    private static final ClaimKey KEY = new ClaimKey(new WorkspaceId("w"), "draw-7");

    private final ClaimLedger mLedger = new ClaimLedger(WINDOW_MILLIS, MAX_RUN_MILLIS);
    private long mOffset;

    @Example
    void claimWithTheLowestOffsetWins() {
        apply(0, claim("x"), claim("y"));

        assertThat(mLedger.verdict(claim("x"))).isEqualTo(new ClaimVerdict.Won());
        assertThat(mLedger.verdict(claim("y")))
                .isEqualTo(new ClaimVerdict.InProgress(new InstanceId("of-x"), new AttemptId("x")));
    }

    @Example
    void verdictAfterADoneClaimNamesItsHolder() {
        apply(0, claim("x"), ended("x", ClaimOutcome.DONE), claim("y"));

        assertThat(mLedger.verdict(claim("y")))
                .isEqualTo(new ClaimVerdict.AlreadyRun(new InstanceId("of-x"), new AttemptId("x")));
    }

    @Example
    void keyIsReleasedOnlyByTheEndOfItsHoldersClaim() {
        apply(0, claim("x"), ended("z", ClaimOutcome.NOT_RUN), claim("y"));
        assertThat(mLedger.verdict(claim("y"))).isInstanceOf(ClaimVerdict.InProgress.class);

        apply(0, ended("x", ClaimOutcome.NOT_RUN), claim("v"));

        assertThat(mLedger.verdict(claim("v"))).isEqualTo(new ClaimVerdict.Won());
    }

    @Example
    void duplicateOfAReleasedClaimDoesNotTakeTheKeyAgain() {
        apply(0, claim("x"), ended("x", ClaimOutcome.NOT_RUN), claim("x"), claim("y"));

        assertThat(mLedger.verdict(claim("y"))).isEqualTo(new ClaimVerdict.Won());
    }

    @Example
    void claimThatArrivesAfterItsOwnReleaseDoesNotTakeTheKey() {
        apply(0, ended("x", ClaimOutcome.NOT_RUN), claim("x"), claim("y"));

        assertThat(mLedger.verdict(claim("y"))).isEqualTo(new ClaimVerdict.Won());
    }

    @Example
    void duplicateOfALostClaimDoesNotTakeTheKeyLater() {
        apply(0, claim("x"), claim("y"), ended("x", ClaimOutcome.NOT_RUN), claim("y"));

        assertThat(mLedger.verdict(claim("y"))).isNotEqualTo(new ClaimVerdict.Won());
        assertThat(mLedger.holderOf(KEY)).isEmpty();
    }

    @Example
    void differentContentUnderTheSameKeyIsRejected() {
        ClaimEntry.Claim other =
                new ClaimEntry.Claim(KEY, new AttemptId("y"), new InstanceId("r"), "other");

        apply(0, claim("x"), other);

        assertThat(mLedger.verdict(other)).isEqualTo(new ClaimVerdict.KeyReused());
    }

    @Example
    void keysAreScopedToTheWorkspace() {
        ClaimKey elsewhere = new ClaimKey(new WorkspaceId("v"), KEY.key());
        ClaimEntry.Claim other =
                new ClaimEntry.Claim(elsewhere, new AttemptId("y"), new InstanceId("r"), "d");

        apply(0, claim("x"), other);

        assertThat(mLedger.verdict(other)).isEqualTo(new ClaimVerdict.Won());
    }

    @Example
    void claimWithoutAnOutcomeIsUnknownAfterTheMaximumRunTime() {
        apply(0, claim("x"));
        apply(MAX_RUN_MILLIS + 1, claim("y"));

        assertThat(mLedger.verdict(claim("y"))).isEqualTo(new ClaimVerdict.OutcomeUnknown());
    }

    @Example
    void keyExpiresAfterTheWindowByTheLogsClock() {
        apply(0, claim("x"), ended("x", ClaimOutcome.DONE));
        apply(WINDOW_MILLIS - 1, claim("y"));
        assertThat(mLedger.verdict(claim("y"))).isInstanceOf(ClaimVerdict.AlreadyRun.class);

        apply(WINDOW_MILLIS, claim("z"));

        assertThat(mLedger.verdict(claim("z"))).isEqualTo(new ClaimVerdict.Won());
    }

    @Property(seed = "20261204", tries = 500)
    void stateIsIndependentOfBatchingAndOfRepeatedRecords(
            @ForAll("entries") List<ClaimEntry> entries, @ForAll("cuts") List<Integer> cuts) {
        ClaimLedger oneByOne = new ClaimLedger(WINDOW_MILLIS, MAX_RUN_MILLIS);
        for (int i = 0; i < entries.size(); i++) {
            oneByOne.apply(i, 0, Optional.of(new ClaimBatch(List.of(entries.get(i)))));
        }
        ClaimLedger batched = new ClaimLedger(WINDOW_MILLIS, MAX_RUN_MILLIS);
        List<List<ClaimEntry>> batches = split(entries, cuts);
        for (int i = 0; i < batches.size(); i++) {
            Optional<ClaimBatch> batch = Optional.of(new ClaimBatch(batches.get(i)));
            batched.apply(i, 0, batch);
            assertThat(batched.apply(i, 0, batch)).isFalse();
        }
        for (ClaimEntry entry : entries) {
            assertThat(batched.holderOf(entry.key())).isEqualTo(oneByOne.holderOf(entry.key()));
        }
    }

    @Property(seed = "20261204", tries = 500)
    void atMostOneClaimWinsAKeyUntilItIsReleased(@ForAll("entries") List<ClaimEntry> entries) {
        ClaimLedger ledger = new ClaimLedger(WINDOW_MILLIS, MAX_RUN_MILLIS);
        List<AttemptId> winners = new ArrayList<>();
        List<AttemptId> released = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            ClaimEntry entry = entries.get(i);
            ledger.apply(i, 0, Optional.of(new ClaimBatch(List.of(entry))));
            if (entry instanceof ClaimEntry.Claim claim
                    && ledger.verdict(claim) instanceof ClaimVerdict.Won
                    && !winners.contains(claim.claim())) {
                assertThat(released).containsAll(winners);
                winners.add(claim.claim());
            }
            if (entry instanceof ClaimEntry.Ended end && end.outcome() == ClaimOutcome.NOT_RUN) {
                released.add(end.claim());
            }
        }
    }

    @Provide
    Arbitrary<List<ClaimEntry>> entries() {
        Arbitrary<String> ids = Arbitraries.of("a", "b", "c", "d");
        Arbitrary<ClaimEntry> claims = ids.map(ClaimLedgerTest::claim);
        Arbitrary<ClaimEntry> ends =
                Combinators.combine(ids, Arbitraries.of(ClaimOutcome.values()))
                        .as(ClaimLedgerTest::ended);
        return Arbitraries.oneOf(claims, ends).list().ofMaxSize(12);
    }

    @Provide
    Arbitrary<List<Integer>> cuts() {
        return Arbitraries.integers().between(1, 4).list().ofSize(12);
    }

    private static List<List<ClaimEntry>> split(List<ClaimEntry> entries, List<Integer> cuts) {
        List<List<ClaimEntry>> batches = new ArrayList<>();
        int from = 0;
        for (int cut : cuts) {
            int to = Math.min(entries.size(), from + cut);
            batches.add(entries.subList(from, to));
            from = to;
        }
        return batches;
    }

    private void apply(long atMillis, ClaimEntry... entries) {
        mLedger.apply(mOffset, atMillis, Optional.of(new ClaimBatch(List.of(entries))));
        mOffset++;
    }

    private static ClaimEntry.Claim claim(String id) {
        return new ClaimEntry.Claim(KEY, new AttemptId(id), new InstanceId("of-" + id), "digest");
    }

    private static ClaimEntry ended(String id, ClaimOutcome outcome) {
        return new ClaimEntry.Ended(KEY, new AttemptId(id), outcome);
    }
}
