package org.magnoliapick.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** A prompt part with the crashes at which its requests were unanswered. */
final class SuspectPart {
    /** The maximum number of crashes that are kept; the earliest are dropped. */
    private static final int MAX_SIGHTINGS = 8;

    /**
     * The time within which several crashes count as one: upstreams that share a cause, such as a
     * power failure, crash at the same time, whatever their requests hold.
     */
    private static final long COINCIDENCE_MILLIS = 250;

    private final PartKey mKey;
    private final List<Sighting> mSightings = new ArrayList<>();

    SuspectPart(PartKey key) {
        mKey = key;
    }

    PartKey key() {
        return mKey;
    }

    List<Sighting> sightings() {
        return List.copyOf(mSightings);
    }

    /** Adds or merges a crash; returns whether anything is new. */
    boolean add(Sighting sighting) {
        for (int i = 0; i < mSightings.size(); i++) {
            Sighting known = mSightings.get(i);
            if (known.sameCrash(sighting)) {
                Sighting merged = known.merge(sighting);
                mSightings.set(i, merged);
                // The time is not compared: it differs with each report by its delay.
                return merged.refuted() != known.refuted()
                        || !merged.requests().equals(known.requests());
            }
        }
        mSightings.add(sighting);
        mSightings.sort(Comparator.comparingLong(Sighting::atMillis));
        if (mSightings.size() > MAX_SIGHTINGS) {
            return mSightings.remove(0) != sighting;
        }
        return true;
    }

    /** Refutes all known crashes; returns whether any was not refuted. */
    boolean refute() {
        boolean changed = mSightings.stream().anyMatch(each -> !each.refuted());
        mSightings.replaceAll(Sighting::asRefuted);
        return changed;
    }

    /** Drops crashes up to a time. */
    void dropUntil(long millis) {
        mSightings.removeIf(each -> each.atMillis() <= millis);
    }

    boolean isEmpty() {
        return mSightings.isEmpty();
    }

    /** Returns the crashes that are not refuted, in order of time. */
    List<Sighting> unrefuted() {
        return mSightings.stream().filter(each -> !each.refuted()).toList();
    }

    /** Returns the number of crashes that are not refuted; simultaneous ones count as one. */
    int crashes() {
        int crashes = 0;
        long lastMillis = 0;
        for (Sighting each : unrefuted()) {
            if (crashes == 0 || each.atMillis() - lastMillis > COINCIDENCE_MILLIS) {
                crashes++;
                lastMillis = each.atMillis();
            }
        }
        return crashes;
    }

    /** Returns the requests that were unanswered at the crashes that are not refuted. */
    Set<String> requests() {
        Set<String> requests = new HashSet<>();
        unrefuted().forEach(each -> requests.addAll(each.requests()));
        return requests;
    }

    /** Returns when the last crash that is not refuted was noticed. */
    long lastMillis() {
        return unrefuted().stream().mapToLong(Sighting::atMillis).max().orElse(Long.MIN_VALUE / 2);
    }

    /**
     * Returns whether at each crash a request had both this part and the other one, so that either
     * may be the cause, or both together.
     */
    boolean isAlwaysWith(SuspectPart other) {
        return unrefuted().stream()
                .allMatch(
                        each ->
                                other.find(each)
                                        .filter(same -> !same.refuted() && same.sharesRequest(each))
                                        .isPresent());
    }

    private Optional<Sighting> find(Sighting crash) {
        return mSightings.stream().filter(crash::sameCrash).findFirst();
    }

    /** Returns the crashed upstreams and the requests, for log lines. */
    String describeEvidence() {
        return unrefuted().stream()
                .map(each -> each.upstream() + "/" + String.join(",", each.requests()))
                .collect(Collectors.joining(" "));
    }
}
