package org.magnoliapick.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The suspects that an instance knows, with the version at which each changed last. Each kind is
 * bounded for itself, so that many fingerprints do not crowd out the parts.
 */
final class SuspectTable {
    /** The maximum number of suspects of one kind. */
    private static final int MAX_SUSPECTS = 1_024;

    /** The maximum number of suspects in one update. */
    private static final int MAX_REPORTS = 16;

    /** The number of these that may be sent before others that changed earlier. */
    private static final int MAX_URGENT_REPORTS = 4;

    /** The maximum number of crashes in one update, which has to fit into few packets. */
    private static final int MAX_CRASHES = 32;

    /** The number of these that urgent suspects may take. */
    private static final int MAX_URGENT_CRASHES = 24;

    private final Map<SuspectKey, Suspect> mSuspects = new HashMap<>();
    private final Map<SuspectKey, Long> mVersions = new HashMap<>();

    /** What {@link #indistinguishable} returned since the last change. */
    private final Map<SuspectKey, Set<SuspectKey>> mIndistinguishable = new HashMap<>();

    private long mVersion;

    boolean isEmpty() {
        return mSuspects.isEmpty();
    }

    Optional<Suspect> find(SuspectKey key) {
        return Optional.ofNullable(mSuspects.get(key));
    }

    /** Returns a suspect that the caller is about to change. */
    Suspect getOrAdd(SuspectKey key) {
        mIndistinguishable.clear();
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
        mIndistinguishable.clear();
        mVersions.put(suspect.key(), ++mVersion);
    }

    /** Records that what is known has another meaning now, although nothing has to be sent. */
    void quarantineBegun() {
        mVersion++;
    }

    /** Removes suspects; the condition may change them. */
    void removeIf(Predicate<Suspect> condition) {
        mIndistinguishable.clear();
        if (mSuspects.values().removeIf(condition)) {
            mVersions.keySet().retainAll(mSuspects.keySet());
        }
    }

    /** Drops suspects beyond the bound: those with the fewest crashes, the oldest first. */
    void dropExcess() {
        if (mSuspects.size() <= MAX_SUSPECTS) {
            return;
        }
        for (SuspectKey.Kind kind : SuspectKey.Kind.values()) {
            List<Suspect> ofKind =
                    mSuspects.values().stream().filter(each -> each.key().kind() == kind).toList();
            int excess = ofKind.size() - MAX_SUSPECTS;
            if (excess <= 0) {
                continue;
            }
            ofKind.stream()
                    .sorted(
                            Comparator.comparingInt(Suspect::crashes)
                                    .thenComparingLong(Suspect::lastSightingMillis))
                    .limit(excess)
                    .forEach(this::remove);
        }
    }

    private void remove(Suspect suspect) {
        mIndistinguishable.clear();
        mSuspects.remove(suspect.key());
        mVersions.remove(suspect.key());
    }

    /** Returns the suspects that may have been there at each crash of this one, with itself. */
    Set<SuspectKey> indistinguishable(Suspect suspect) {
        return mIndistinguishable.computeIfAbsent(
                suspect.key(),
                key ->
                        mSuspects.values().stream()
                                .filter(each -> each.key().service().equals(key.service()))
                                .filter(suspect::isAlwaysWith)
                                .map(Suspect::key)
                                .collect(Collectors.toUnmodifiableSet()));
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
                        .toList();
        int inOrder = fitting(changed, MAX_REPORTS, MAX_CRASHES).size();
        List<Suspect> urgent = inOrder < changed.size() ? urgent(changed) : List.of();
        if (!urgent.isEmpty()) {
            int left = MAX_CRASHES - urgent.stream().mapToInt(Suspect::sightingCount).sum();
            inOrder = fitting(changed, MAX_REPORTS - urgent.size(), left).size();
        }
        boolean all = inOrder == changed.size();
        return Optional.of(
                new SuspectUpdate(
                        all ? mVersion : versionOf(changed.get(inOrder - 1)),
                        Stream.concat(changed.stream().limit(inOrder), urgent.stream())
                                .distinct()
                                .map(each -> new SuspectReport(each.key(), each.sightings()))
                                .toList()));
    }

    /**
     * Returns suspects of several crashes that may have to wait for a later update. They are sent
     * again by that one. Refutations have a place, since they end quarantines of sound parts.
     */
    private static List<Suspect> urgent(List<Suspect> changed) {
        int certain =
                fitting(changed, MAX_REPORTS - MAX_URGENT_REPORTS, MAX_CRASHES - MAX_URGENT_CRASHES)
                        .size();
        List<Suspect> waiting = changed.stream().skip(certain).toList();
        List<Suspect> accused =
                waiting.stream()
                        .filter(each -> each.crashes() > 1)
                        .sorted(Comparator.comparingInt(Suspect::crashes).reversed())
                        .toList();
        List<Suspect> refuted =
                waiting.stream()
                        .filter(each -> each.crashes() == 0 && each.sightingCount() > 1)
                        .sorted(Comparator.comparingInt(Suspect::sightingCount).reversed())
                        .toList();
        List<Suspect> urgent =
                Stream.of(
                                accused.stream().limit(1),
                                refuted.stream().limit(1),
                                accused.stream().skip(1),
                                refuted.stream().skip(1))
                        .flatMap(each -> each)
                        .toList();
        return fitting(urgent, MAX_URGENT_REPORTS, MAX_URGENT_CRASHES);
    }

    /** Returns the first suspects that together have at most so many crashes. */
    private static List<Suspect> fitting(List<Suspect> suspects, int maxSuspects, int maxCrashes) {
        int count = 0;
        int crashes = 0;
        while (count < Math.min(maxSuspects, suspects.size())) {
            crashes += suspects.get(count).sightingCount();
            if (crashes > maxCrashes) {
                break;
            }
            count++;
        }
        return suspects.subList(0, count);
    }

    private long versionOf(Suspect suspect) {
        return mVersions.getOrDefault(suspect.key(), 0L);
    }
}
