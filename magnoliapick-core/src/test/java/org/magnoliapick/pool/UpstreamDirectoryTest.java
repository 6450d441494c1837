package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.RateLimit;
import org.magnoliapick.limit.RateLimits;

final class UpstreamDirectoryTest {
    private static final UpstreamId ID = new UpstreamId("u");

    private final UpstreamDirectory mDirectory = new UpstreamDirectory();

    private static ListedUpstream upstream(boolean leaving, long startedMillis) {
        return new ListedUpstream(
                ID, "s", "10.0.0.1:80", new FailureDomain("a"), 6, leaving, startedMillis);
    }

    @Test
    void removesALeavingUpstreamImmediatelyUntilItsNextIncarnation() {
        mDirectory.put(upstream(false, 1), 0, 0);
        assertThat(mDirectory.put(upstream(true, 1), 1, 10)).isTrue();
        mDirectory.put(upstream(false, 1), 2, 20);
        assertThat(mDirectory.usable("s")).isEmpty();
        mDirectory.put(upstream(false, 2), 3, 30);
        assertThat(mDirectory.usable("s")).hasSize(1);
    }

    /** Guards against a list that brings back an upstream which stated that it is leaving. */
    @Test
    void keepsAnUpstreamUnusableThatStatedThatItIsLeaving() {
        mDirectory.put(upstream(false, 1), 0, 0);
        assertThat(mDirectory.leaving().record(upstream(false, 1), "r", 10)).isTrue();
        assertThat(mDirectory.usable("s")).isEmpty();
        assertThat(mDirectory.isUsable(upstream(false, 1))).isFalse();
        assertThat(mDirectory.areAllLeaving("s")).isTrue();
        assertThat(mDirectory.put(upstream(false, 1), 5, 20)).isFalse();
        mDirectory.listRestored(1_000);
        assertThat(mDirectory.putFromSnapshot(upstream(false, 1), 1, 1_010)).isFalse();
        mDirectory.retainAll(Set.of(), 2, 5_000);
        assertThat(mDirectory.areAllLeaving("s")).isFalse();
        mDirectory.put(upstream(false, 1), 3, 5_010);
        assertThat(mDirectory.usable()).isEmpty();
        assertThat(mDirectory.put(upstream(false, 2), 4, 6_000)).isTrue();
        assertThat(mDirectory.usable("s")).hasSize(1);
        assertThat(mDirectory.isUsable(upstream(false, 1))).isFalse();
    }

    /** Guards against requests being refused at once although a replacement may be listed. */
    @Test
    void waitsForAReplacementOnceTheLastLeavingUpstreamIsRemoved() {
        PoolScheduler scheduler = Jobs.scheduler();
        mDirectory.put(upstream(true, 1), 0, 0);
        apply(scheduler, true, 0);
        assertThat(scheduler.submit(Jobs.job(1, "w", "p", 100, 0), 0)).hasSize(1);
        apply(scheduler, mDirectory.remove(ID, 1, 10), 10);
        assertThat(scheduler.submit(Jobs.job(2, "w", "p", 100, 10), 10)).isEmpty();
        apply(scheduler, mDirectory.put(upstream(false, 2), 2, 20), 20);
        assertThat(scheduler.tick(20)).singleElement().isInstanceOf(PoolAction.Start.class);
    }

    private void apply(PoolScheduler scheduler, boolean changed, long nowMillis) {
        if (changed) {
            scheduler.setUpstreams(mDirectory.usable("s"), nowMillis);
            scheduler.setAllLeaving(mDirectory.areAllLeaving("s"));
        }
    }

    @Test
    void remembersThatAListedUpstreamIsLeaving() {
        mDirectory.put(upstream(false, 1), 0, 0);
        mDirectory.leaving().record(upstream(false, 1), "r", 10);
        for (long nowMillis = 0; nowMillis < 2_000_000; nowMillis += 100_000) {
            mDirectory.removeLapsed(nowMillis);
        }
        assertThat(mDirectory.usable()).isEmpty();
        mDirectory.remove(ID, 1, 2_000_000);
        mDirectory.removeLapsed(2_500_000);
        assertThat(mDirectory.leaving().count()).isEqualTo(1);
        mDirectory.removeLapsed(2_700_000);
        assertThat(mDirectory.leaving().count()).isZero();
    }

    @Test
    void ignoresAnOutdatedPage() {
        mDirectory.put(upstream(true, 1), 5, 0);
        assertThat(mDirectory.put(upstream(false, 1), 4, 10)).isFalse();
        assertThat(mDirectory.usable("s")).isEmpty();
    }

    @Test
    void keepsEntriesRemovedDuringAnOutageUntilTheGracePeriodIsOver() {
        mDirectory.put(upstream(false, 1), 0, 0);
        mDirectory.listUnavailable(100);
        mDirectory.listAvailable(5_000);
        mDirectory.remove(ID, 1, 5_010);
        assertThat(mDirectory.removeLapsed(6_999)).isFalse();
        assertThat(mDirectory.usable("s")).hasSize(1);
        assertThat(mDirectory.removeLapsed(7_000)).isTrue();
        assertThat(mDirectory.usable("s")).isEmpty();
    }

    @Test
    void keepsAnUpstreamThatListsItselfAgainInTime() {
        mDirectory.put(upstream(false, 1), 0, 0);
        mDirectory.listUnavailable(100);
        mDirectory.listAvailable(5_000);
        mDirectory.remove(ID, 1, 5_010);
        mDirectory.put(upstream(false, 1), 2, 6_000);
        mDirectory.removeLapsed(7_000);
        assertThat(mDirectory.usable("s")).hasSize(1);
    }

    @Test
    void removesEntriesThatACompleteSnapshotLacks() {
        mDirectory.put(upstream(false, 1), 0, 0);
        assertThat(mDirectory.retainAll(Set.of(), 9, 10)).isTrue();
        assertThat(mDirectory.usable()).isEmpty();
    }

    @Test
    void appliesRecordsAtLowerOffsetsAfterARestore() {
        mDirectory.put(upstream(false, 1), 40, 0);
        mDirectory.listRestored(100);
        mDirectory.putFromSnapshot(upstream(false, 1), 7, 100);
        assertThat(mDirectory.put(upstream(true, 1), 8, 200)).isTrue();
        assertThat(mDirectory.usable()).isEmpty();
    }

    @Test
    void keepsAnUpstreamThatTheCopyLacksUntilItIsListedAgain() {
        mDirectory.put(upstream(false, 1), 40, 0);
        mDirectory.listRestored(100);
        mDirectory.retainAll(Set.of(), 7, 110);
        assertThat(mDirectory.usable()).hasSize(1);
        mDirectory.put(upstream(false, 1), 8, 1_300);
        assertThat(mDirectory.removeLapsed(2_200)).isFalse();
        assertThat(mDirectory.usable()).hasSize(1);
    }

    @Test
    void removesAnUpstreamThatIsNotListedAgainAfterARestore() {
        mDirectory.put(upstream(false, 1), 40, 0);
        mDirectory.listRestored(100);
        mDirectory.retainAll(Set.of(), 7, 110);
        assertThat(mDirectory.removeLapsed(2_100)).isTrue();
        assertThat(mDirectory.usable()).isEmpty();
    }

    /** Its address may belong to an upstream of another service by now. */
    @Test
    void aCopyDoesNotBringBackARemovedOrLeavingUpstream() {
        mDirectory.put(upstream(false, 1), 40, 0);
        mDirectory.remove(ID, 41, 10);
        mDirectory.listRestored(100);
        assertThat(mDirectory.putFromSnapshot(upstream(false, 1), 7, 110)).isFalse();
        assertThat(mDirectory.usable()).isEmpty();
        // It did run: it appends its entry again.
        assertThat(mDirectory.put(upstream(false, 1), 8, 1_300)).isTrue();
        mDirectory.put(upstream(true, 1), 9, 1_400);
        mDirectory.listRestored(2_000);
        assertThat(mDirectory.putFromSnapshot(upstream(false, 1), 3, 2_010)).isFalse();
        assertThat(mDirectory.usable()).isEmpty();
    }

    @Test
    void aCopyDoesNotBringBackAFormerIncarnation() {
        mDirectory.put(upstream(false, 5), 40, 0);
        mDirectory.listRestored(100);
        mDirectory.putFromSnapshot(upstream(false, 1), 7, 110);
        assertThat(mDirectory.usable())
                .extracting(ListedUpstream::startedMillis)
                .containsExactly(5L);
    }

    @Test
    void forgetsARemovedUpstreamAfterTenMinutes() {
        mDirectory.put(upstream(false, 1), 1, 0);
        mDirectory.remove(ID, 2, 10);
        mDirectory.removeLapsed(600_011);
        mDirectory.listRestored(600_012);
        assertThat(mDirectory.putFromSnapshot(upstream(false, 1), 1, 600_013)).isTrue();
    }

    /** Guards against requests that wait for their deadline although no upstream may be used. */
    @Test
    void refusesAtOnceWhileAllDomainsOfAServiceAreEvacuated() {
        PoolScheduler scheduler = Jobs.scheduler();
        mDirectory.put(Jobs.upstream("u"), 0, 0);
        apply(scheduler, true, 0);
        PoolJob before = Jobs.job(1, "w", "p", 100, 0);
        Ticket ticket = ((PoolAction.Start) scheduler.submit(before, 0).get(0)).ticket();
        DomainEvacuation evacuation = new DomainEvacuation(Jobs.DOMAIN, true, 1, 1);
        apply(scheduler, mDirectory.evacuated().apply(evacuation), 10);
        assertThat(scheduler.submit(Jobs.job(2, "w", "p", 100, 10), 10))
                .singleElement()
                .isInstanceOf(PoolAction.Refuse.class);
        apply(
                scheduler,
                mDirectory.evacuated().apply(new DomainEvacuation(Jobs.DOMAIN, false, 1, 2)),
                20);
        // The request in progress still counts.
        assertThat(scheduler.ownUse(20).uses()).singleElement().matches(use -> use.running() == 1);
        scheduler.endAttempt(ticket, Optional.empty(), 30);
        assertThat(scheduler.ownUse(30).uses()).isEmpty();
    }

    /** Guards against a rate limit that is exceeded because debts of its tokens are forgotten. */
    @Test
    void anEvacuationDoesNotClearTheDebtOfARateLimit() {
        RateLimits limits = new RateLimits();
        limits.record(new RateLimit(new UpstreamId("u"), 1, OptionalDouble.of(4), 0), "r", 0);
        PoolScheduler scheduler = Jobs.scheduler(limits);
        mDirectory.put(Jobs.upstream("u"), 0, 0);
        apply(scheduler, true, 0);
        UpstreamUse starts = new UpstreamUse(new UpstreamId("u"), 0, 0, 0, 0, 12);
        PoolUse use = new PoolUse("s", List.of(starts), Map.of(), 0, OptionalLong.empty(), false);
        scheduler.updatePeer(new InstanceId("i"), use, 0);
        DomainEvacuation evacuation = new DomainEvacuation(Jobs.DOMAIN, true, 1, 1);
        apply(scheduler, mDirectory.evacuated().apply(evacuation), 10);
        DomainEvacuation end = new DomainEvacuation(Jobs.DOMAIN, false, 1, 2);
        apply(scheduler, mDirectory.evacuated().apply(end), 20);
        assertThat(scheduler.submit(Jobs.job(1, "w", "p", 10, 1_000), 1_000))
                .noneMatch(PoolAction.Start.class::isInstance);
        assertThat(scheduler.submit(Jobs.job(2, "w", "p", 10, 4_000), 4_000))
                .anyMatch(PoolAction.Start.class::isInstance);
    }
}
