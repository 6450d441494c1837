package org.magnoliapick.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** A prompt part or fingerprint with the crashes at which requests that have it were unanswered. */
final class Suspect {
    /** The number of crashes without an answer after which requests are refused. */
    private static final int MIN_CRASHES = 3;

    /**
     * How long after the first of these crashes a quarantine begins at the earliest, in
     * milliseconds: an instance that relayed an answer has learned of the suspicion by then, and
     * its refutation has come back.
     */
    private static final long CONFIRM_MILLIS = 2_000;

    /**
     * The duration of a quarantine, which doubles with each further time of a crash, in
     * milliseconds.
     */
    private static final long BASE_MILLIS = 60_000;

    /** The maximum duration of a quarantine, in milliseconds. */
    private static final long MAX_MILLIS = 600_000;

    /** The time from a probe until the next one, in milliseconds. */
    private static final long PROBE_MILLIS = 10_000;

    /** The same before a quarantine begins: an answer then refutes it before it holds back much. */
    private static final long EARLY_PROBE_MILLIS = 500;

    /**
     * The time of an event that has not happened. It is half the minimum, so that the time since it
     * does not overflow.
     */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** The maximum number of crashes that are kept; the first one is, of the others the latest. */
    private static final int MAX_SIGHTINGS = 8;

    /**
     * The time within which several crashes may have one cause, such as a power failure, whatever
     * the requests hold.
     */
    private static final long COINCIDENCE_MILLIS = 250;

    private final SuspectKey mKey;
    private final List<Sighting> mSightings = new ArrayList<>();
    private boolean mQuarantined;

    private long mProbeEndMillis = NEVER;

    Suspect(SuspectKey key) {
        mKey = key;
    }

    SuspectKey key() {
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
            // A quarantine begins some time after the first crash that is not refuted.
            return mSightings.remove(mSightings.get(0).refuted() ? 0 : 1) != sighting;
        }
        return true;
    }

    /** Refutes all known crashes up to a time; returns whether any was not refuted. */
    boolean refuteUntil(long millis) {
        boolean changed = false;
        for (int i = 0; i < mSightings.size(); i++) {
            Sighting each = mSightings.get(i);
            if (!each.refuted() && each.atMillis() <= millis) {
                mSightings.set(i, each.asRefuted());
                changed = true;
            }
        }
        mQuarantined &= isPoison();
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

    /**
     * Returns the number of crashes that are not refuted. Simultaneous ones count as one, if they
     * do so for suspects of this kind.
     */
    int crashes() {
        return mKey.kind().countsSimultaneousOnce() ? crashTimes() : unrefuted().size();
    }

    /** Returns at how many different times crashes happened that are not refuted. */
    private int crashTimes() {
        int times = 0;
        long lastMillis = 0;
        for (Sighting each : unrefuted()) {
            if (times == 0 || each.atMillis() - lastMillis > COINCIDENCE_MILLIS) {
                times++;
                lastMillis = each.atMillis();
            }
        }
        return times;
    }

    /** Returns the requests that were unanswered at the crashes that are not refuted. */
    Set<String> requests() {
        Set<String> requests = new HashSet<>();
        unrefuted().forEach(each -> requests.addAll(each.requests()));
        return requests;
    }

    /** Returns when the last crash that is not refuted was noticed. */
    long lastMillis() {
        return unrefuted().stream().mapToLong(Sighting::atMillis).max().orElse(NEVER);
    }

    /** Returns when the last crash was noticed, whether it is refuted or not. */
    long lastSightingMillis() {
        return mSightings.stream().mapToLong(Sighting::atMillis).max().orElse(NEVER);
    }

    /** Returns whether the crashes are enough for a quarantine, which may have ended since. */
    boolean isPoison() {
        // Most suspects have a single crash; this is asked for all of them at each tick.
        return mSightings.size() >= MIN_CRASHES
                && crashes() >= MIN_CRASHES
                && requests().size() >= mKey.kind().minRequests();
    }

    /** Returns when the quarantine ends; in the past if there is none. */
    long endMillis() {
        if (!isPoison()) {
            return NEVER;
        }
        int times = crashTimes();
        if (times == 1) {
            // A common cause is possible, and an answer to the next probe shows it.
            return lastMillis() + PROBE_MILLIS;
        }
        int doublings = Math.max(0, Math.min(10, times - MIN_CRASHES));
        return lastMillis() + Math.min(MAX_MILLIS, BASE_MILLIS << doublings);
    }

    private long beginMillis() {
        return unrefuted().get(0).atMillis() + CONFIRM_MILLIS;
    }

    boolean isQuarantined(long nowMillis) {
        return isPoison() && nowMillis >= beginMillis() && nowMillis < endMillis();
    }

    Quarantine quarantine() {
        return new Quarantine(mKey, crashes(), endMillis());
    }

    /** Returns whether the quarantine was announced as a change. */
    boolean isAnnounced() {
        return mQuarantined;
    }

    /** Returns the number of crashes, whether they are refuted or not. */
    int sightingCount() {
        return mSightings.size();
    }

    void announced() {
        mQuarantined = true;
    }

    /** Returns the quarantine until the next probe; empty if one may be sent now. */
    Optional<Quarantine> untilProbe(long nowMillis) {
        return nowMillis < mProbeEndMillis
                ? Optional.of(new Quarantine(mKey, crashes(), mProbeEndMillis))
                : Optional.empty();
    }

    void probed(long nowMillis) {
        mProbeEndMillis =
                nowMillis + (nowMillis < beginMillis() ? EARLY_PROBE_MILLIS : PROBE_MILLIS);
    }

    /**
     * Returns whether at each crash a request may have had both this and the other one, so that
     * either may be the cause, or both together.
     */
    boolean isAlwaysWith(Suspect other) {
        return unrefuted().stream()
                .allMatch(
                        each ->
                                other.find(each)
                                        .filter(same -> !same.refuted())
                                        .filter(same -> mayBeTogether(each, other, same))
                                        .isPresent());
    }

    /** A request that repeats may be among those of a full sighting that are not kept. */
    private static boolean mayBeTogether(Sighting crash, Suspect other, Sighting same) {
        return crash.sharesRequest(same)
                || (crash.isFull() && other.mKey.kind() == SuspectKey.Kind.FINGERPRINT);
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
