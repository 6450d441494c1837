package org.magnoliapick.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The suspects that an instance knows, with the version at which each changed last. Each kind is
 * bounded for itself, so that many fingerprints do not crowd out the parts.
 */
final class SuspectTable {
    /** The maximum number of suspects of one kind. */
    private static final int MAX_SUSPECTS = 1_024;

    /** The maximum number of suspects in one update. */
    private static final int MAX_REPORTS = 16;

    private final Map<SuspectKey, Suspect> mSuspects = new HashMap<>();
    private final Map<SuspectKey, Long> mVersions = new HashMap<>();
    private long mVersion;

    boolean isEmpty() {
        return mSuspects.isEmpty();
    }

    Optional<Suspect> find(SuspectKey key) {
        return Optional.ofNullable(mSuspects.get(key));
    }

    Suspect getOrAdd(SuspectKey key) {
        return mSuspects.computeIfAbsent(key, Suspect::new);
    }

    Collection<Suspect> all() {
        return mSuspects.values();
    }

    /** Returns a number that grows with each change. */
    long version() {
        return mVersion;
    }

    /** Records that a suspect has changed. */
    void changed(Suspect suspect) {
        mVersions.put(suspect.key(), ++mVersion);
    }

    void removeIf(Predicate<Suspect> condition) {
        mSuspects.values().removeIf(condition);
        mVersions.keySet().retainAll(mSuspects.keySet());
    }

    /** Drops suspects beyond the bound: those with the fewest crashes, the oldest first. */
    void dropExcess() {
        for (SuspectKey.Kind kind : SuspectKey.Kind.values()) {
            List<Suspect> ofKind =
                    mSuspects.values().stream().filter(each -> each.key().kind() == kind).toList();
            ofKind.stream()
                    .sorted(
                            Comparator.comparingInt(Suspect::crashes)
                                    .thenComparingLong(Suspect::lastSightingMillis))
                    .limit(Math.max(0, ofKind.size() - MAX_SUSPECTS))
                    .forEach(this::remove);
        }
    }

    private void remove(Suspect suspect) {
        mSuspects.remove(suspect.key());
        mVersions.remove(suspect.key());
    }

    /** Returns what changed since a version; empty if nothing did. */
    Optional<SuspectUpdate> updateFor(long knownVersion) {
        // A version above the own one is of an earlier incarnation of this instance.
        long known = knownVersion > mVersion ? 0 : knownVersion;
        if (known == mVersion) {
            return Optional.empty();
        }
        List<Suspect> changed =
                mSuspects.values().stream()
                        .filter(each -> versionOf(each) > known)
                        .sorted(Comparator.comparingLong(this::versionOf))
                        .limit(MAX_REPORTS)
                        .toList();
        boolean all = changed.size() < MAX_REPORTS;
        return Optional.of(
                new SuspectUpdate(
                        all ? mVersion : versionOf(changed.get(MAX_REPORTS - 1)),
                        changed.stream()
                                .map(each -> new SuspectReport(each.key(), each.sightings()))
                                .toList()));
    }

    private long versionOf(Suspect suspect) {
        return mVersions.getOrDefault(suspect.key(), 0L);
    }
}
