package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.FailureDomain;

/** Guards against evacuations that are missed, undone by old data or kept after their end. */
final class EvacuatedDomainsTest {
    private static final FailureDomain A = new FailureDomain("a");
    private static final FailureDomain B = new FailureDomain("b");

    private final EvacuatedDomains mDomains = new EvacuatedDomains();

    private static DomainEvacuation evacuated(FailureDomain domain, long epoch, long offset) {
        return new DomainEvacuation(domain, true, epoch, offset);
    }

    private static DomainEvacuation restored(FailureDomain domain, long epoch, long offset) {
        return new DomainEvacuation(domain, false, epoch, offset);
    }

    /** Sends all that one instance knows to another until it lacks nothing. */
    private static void exchange(EvacuatedDomains from, EvacuatedDomains to) {
        long known = 0;
        for (var update = from.updateFor(known); update.isPresent(); ) {
            to.applyUpdate(update.get(), "i");
            known = update.get().version();
            update = from.updateFor(known);
        }
    }

    @Test
    void theNewestRecordDecides() {
        assertThat(mDomains.apply(evacuated(A, 1, 4))).isTrue();
        assertThat(mDomains.apply(evacuated(B, 1, 5))).isTrue();
        assertThat(mDomains.apply(restored(A, 1, 3))).isFalse();
        assertThat(mDomains.contains(A)).isTrue();
        assertThat(mDomains.apply(restored(A, 1, 6))).isTrue();
        assertThat(mDomains.apply(evacuated(A, 1, 4))).isFalse();
        assertThat(mDomains.contains(A)).isFalse();
        assertThat(mDomains.contains(B)).isTrue();
        assertThat(mDomains.takeChanges())
                .extracting(EvacuationChange::logName)
                .containsExactly("domain.evacuated", "domain.evacuated", "domain.restored");
    }

    /** The key was removed while the log was compacted, so no record says so. */
    @Test
    void aSnapshotWithoutTheKeyEndsAnEvacuation() {
        mDomains.apply(evacuated(A, 1, 4));
        mDomains.apply(evacuated(B, 1, 5));
        assertThat(mDomains.applySnapshot(List.of(evacuated(B, 1, 5)), 1, 9)).isTrue();
        assertThat(mDomains.contains(A)).isFalse();
        assertThat(mDomains.contains(B)).isTrue();
    }

    @Test
    void aSnapshotFromBeforeTheEvacuationChangesNothing() {
        mDomains.applySnapshot(List.of(), 1, 8);
        mDomains.apply(evacuated(A, 1, 8));
        assertThat(mDomains.applySnapshot(List.of(), 1, 8)).isFalse();
        assertThat(mDomains.applySnapshot(List.of(), 1, 3)).isFalse();
        assertThat(mDomains.contains(A)).isTrue();
    }

    @Test
    void aRestoredStoreThatLacksTheKeyDoesNotEndAnEvacuation() {
        mDomains.apply(evacuated(A, 1, 40));
        assertThat(mDomains.applySnapshot(List.of(), 2, 9)).isFalse();
        assertThat(mDomains.applySnapshot(List.of(), 2, 60)).isFalse();
        assertThat(mDomains.contains(A)).isTrue();
        assertThat(mDomains.apply(restored(A, 2, 10))).isTrue();
        assertThat(mDomains.contains(A)).isFalse();
    }

    @Test
    void aRecordOfTheRestoredStoreReplacesALaterOneOfTheFormerEpoch() {
        mDomains.apply(evacuated(A, 1, 4));
        mDomains.apply(restored(A, 1, 40));
        assertThat(mDomains.applySnapshot(List.of(evacuated(A, 2, 4)), 2, 9)).isTrue();
        assertThat(mDomains.contains(A)).isTrue();
    }

    /** An instance that is cut off from the store learns of both from another one, in any order. */
    @Test
    void instancesAgreeWhateverTheOrderAndRepetitionOfMessages() {
        List<DomainEvacuation> records = new ArrayList<>();
        for (int offset = 0; offset < 12; offset++) {
            FailureDomain domain = offset % 3 == 0 ? A : B;
            records.add(new DomainEvacuation(domain, offset % 4 == 3, 1 + offset / 6, offset));
        }
        Random random = new Random(1);
        for (int round = 0; round < 100; round++) {
            EvacuatedDomains one = new EvacuatedDomains();
            EvacuatedDomains other = new EvacuatedDomains();
            Collections.shuffle(records, random);
            for (DomainEvacuation each : records) {
                (random.nextBoolean() ? one : other).apply(each);
                if (random.nextBoolean()) {
                    exchange(one, other);
                }
            }
            exchange(one, other);
            exchange(other, one);
            for (EvacuatedDomains each : List.of(one, other)) {
                assertThat(each.contains(A)).isFalse();
                assertThat(each.contains(B)).isTrue();
            }
        }
    }

    /** Guards against an evacuation that an instance cut off for long brings back. */
    @Test
    void correctsAnInstanceThatMissedTheRemovalOfAKey() {
        EvacuatedDomains cutOff = new EvacuatedDomains();
        cutOff.apply(evacuated(A, 1, 4));
        mDomains.applySnapshot(List.of(), 1, 9);
        exchange(cutOff, mDomains);
        assertThat(mDomains.contains(A)).isFalse();
        exchange(mDomains, cutOff);
        assertThat(cutOff.contains(A)).isFalse();
    }

    @Test
    void aStartedInstanceLearnsWhatTheRestoredStoreLacks() {
        mDomains.apply(evacuated(A, 1, 40));
        EvacuatedDomains started = new EvacuatedDomains();
        started.applySnapshot(List.of(), 2, 9);
        exchange(mDomains, started);
        assertThat(started.contains(A)).isTrue();
    }

    /** Guards against keys of domains that do not exist, which could use up the memory. */
    @Test
    void boundsTheNumberOfDomains() {
        IntStream.range(0, EvacuatedDomains.MAX_DOMAINS)
                .forEach(i -> mDomains.apply(evacuated(new FailureDomain("d" + i), 1, i)));
        long offset = EvacuatedDomains.MAX_DOMAINS;
        assertThat(mDomains.apply(evacuated(A, 1, offset))).isFalse();
        assertThat(mDomains.takeChanges())
                .last()
                .extracting(EvacuationChange::logName)
                .isEqualTo("domain.ignored");
        mDomains.apply(restored(new FailureDomain("d0"), 1, offset + 1));
        assertThat(mDomains.apply(evacuated(A, 1, offset + 2))).isTrue();
        assertThat(mDomains.count()).isEqualTo(EvacuatedDomains.MAX_DOMAINS);
    }
}
