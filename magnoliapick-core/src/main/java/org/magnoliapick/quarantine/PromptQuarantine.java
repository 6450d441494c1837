package org.magnoliapick.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;

/**
 * Refuses requests with a poison part: one that makes each upstream crash that begins to answer it.
 * Each request with such a part would cost an upstream with all its requests, so the part has to be
 * found from few crashes.
 *
 * <p>A part is suspected if a request with it had received nothing when its upstream crashed. Any
 * later answer to a request with the part refutes this. After several crashes without an answer the
 * part is quarantined; when the quarantine ends, single requests are sent as probes. A sound part
 * that always occurs together with a poison part looks the same, so a request is refused only if it
 * has all parts that cannot be told apart. The last part of a prompt is never suspected: it belongs
 * to one request or session, which is sent only to a few upstreams.
 *
 * <p>Instances exchange the crashes that they noticed. What is known is a set of crashes that are
 * refuted or not; sets are merged, so the order and repetition of messages do not matter.
 */
public final class PromptQuarantine {
    /** The number of crashes without an answer after which a part is quarantined. */
    private static final int MIN_CRASHES = 3;

    /**
     * The minimum number of different requests at these crashes; a single one may crash upstreams
     * by its own content.
     */
    private static final int MIN_REQUESTS = 2;

    /** The duration of a quarantine, which doubles with each further crash, in milliseconds. */
    private static final long BASE_MILLIS = 60_000;

    /** The maximum duration of a quarantine; older crashes are forgotten, in milliseconds. */
    private static final long MAX_MILLIS = 600_000;

    /** The time from a probe until the next one, in milliseconds. */
    private static final long PROBE_MILLIS = 10_000;

    /** The maximum number of suspected parts; those with the fewest crashes are dropped. */
    private static final int MAX_SUSPECTS = 64;

    /**
     * How long an answer before a crash speaks for a part, in milliseconds: a part of many requests
     * that are answered all the time is not suspected at each crash.
     */
    private static final long TRUST_MILLIS = 3_000;

    /** The number of parts whose last answer is known. */
    private static final int MAX_ANSWERED = 1_024;

    /**
     * The time of an event that has not happened. It is half the minimum, so that the time since it
     * does not overflow.
     */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** The maximum number of parts in one update. */
    private static final int MAX_REPORTS = 16;

    private final Map<PartKey, Entry> mSuspects = new HashMap<>();
    private final Map<PartKey, Long> mAnsweredMillis =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<PartKey, Long> eldest) {
                    return size() > MAX_ANSWERED;
                }
            };
    private final List<QuarantineChange> mChanges = new ArrayList<>();
    private long mVersion;

    /**
     * Returns the quarantine that a request falls under.
     *
     * @param service the service that the request is for
     */
    public Optional<Quarantine> find(String service, Prompt prompt, long nowMillis) {
        if (mSuspects.isEmpty()) {
            return Optional.empty();
        }
        Set<PartKey> keys = keys(service, prompt);
        return keys.stream()
                .flatMap(key -> Optional.ofNullable(mSuspects.get(key)).stream())
                .filter(entry -> nowMillis < entry.endMillis())
                .filter(entry -> keys.containsAll(indistinguishable(entry)))
                .map(entry -> entry.quarantine(entry.endMillis()))
                .max(Comparator.comparingLong(Quarantine::endMillis));
    }

    /**
     * Returns the quarantine that a request falls under, as {@link #find}, and after the end of a
     * quarantine lets a single request pass as a probe. Only the instance that places the request
     * calls this.
     */
    public Optional<Quarantine> admit(String service, Prompt prompt, long nowMillis) {
        Optional<Quarantine> quarantine = find(service, prompt, nowMillis);
        if (quarantine.isPresent() || mSuspects.isEmpty()) {
            return quarantine;
        }
        Set<PartKey> keys = keys(service, prompt);
        for (PartKey key : keys) {
            Entry entry = mSuspects.get(key);
            if (entry == null || !entry.isPoison() || !keys.containsAll(indistinguishable(entry))) {
                continue;
            }
            if (nowMillis < entry.mProbeEndMillis) {
                return Optional.of(entry.quarantine(entry.mProbeEndMillis));
            }
            entry.mProbeEndMillis = nowMillis + PROBE_MILLIS;
            addChange(QuarantineChange.Kind.PROBED, entry);
        }
        return Optional.empty();
    }

    /**
     * Returns whether a request that lost its upstream without any answer is to be sent to another
     * one: not if an upstream crashed in the same way before with another request that has one of
     * its parts, and no answer to a request with that part is known.
     */
    public boolean mayRetry(String service, Prompt prompt, String request) {
        return keys(service, prompt).stream()
                .filter(key -> !mAnsweredMillis.containsKey(key))
                .flatMap(key -> Optional.ofNullable(mSuspects.get(key)).stream())
                .noneMatch(
                        entry ->
                                entry.mPart.requests().stream()
                                        .anyMatch(each -> !each.equals(request)));
    }

    /**
     * Records that an upstream crashed while a request had received nothing of its answer.
     *
     * @param startedMillis when that incarnation of the upstream started
     * @param crashedMillis when the crash was noticed
     */
    public void recordCrash(
            String service,
            Prompt prompt,
            String request,
            UpstreamId upstream,
            long startedMillis,
            long crashedMillis) {
        for (PartKey key : keys(service, prompt)) {
            Sighting sighting =
                    new Sighting(
                            upstream,
                            startedMillis,
                            new TreeSet<>(Set.of(request)),
                            crashedMillis,
                            false);
            if (!isAnsweredSince(key, crashedMillis - TRUST_MILLIS)) {
                add(key, sighting);
            }
        }
        dropExcess();
    }

    /** Records that a request received an event, or its whole answer if that is no stream. */
    public void recordAnswer(String service, Prompt prompt, long nowMillis) {
        for (PartKey key : keys(service, prompt)) {
            mAnsweredMillis.put(key, nowMillis);
            Entry entry = mSuspects.get(key);
            if (entry != null && entry.mPart.refute()) {
                refuted(entry);
            }
        }
    }

    private void refuted(Entry entry) {
        entry.mVersion = ++mVersion;
        entry.mQuarantined = false;
        addChange(QuarantineChange.Kind.REFUTED, entry);
    }

    private boolean isAnsweredSince(PartKey key, long millis) {
        Long answeredMillis = mAnsweredMillis.get(key);
        return answeredMillis != null && answeredMillis >= millis;
    }

    /** Applies what another instance knows; times are of this instance's clock. */
    public void applyUpdate(SuspectUpdate update) {
        for (SuspectReport report : update.suspects()) {
            for (Sighting each : report.sightings()) {
                add(report.part(), each);
            }
            refuteIfAnswered(report.part());
        }
        dropExcess();
    }

    /** Refutes crashes that were reported here only after the part was answered. */
    private void refuteIfAnswered(PartKey key) {
        Entry entry = mSuspects.get(key);
        if (entry != null
                && !entry.mPart.unrefuted().isEmpty()
                && isAnsweredSince(key, entry.mPart.lastMillis())
                && entry.mPart.refute()) {
            refuted(entry);
        }
    }

    private void add(PartKey key, Sighting sighting) {
        Entry entry = mSuspects.computeIfAbsent(key, each -> new Entry(new SuspectPart(each)));
        int crashesBefore = entry.mPart.crashes();
        int sightingsBefore = entry.mPart.unrefuted().size();
        if (!entry.mPart.add(sighting)) {
            return;
        }
        entry.mVersion = ++mVersion;
        if (entry.mPart.unrefuted().size() > sightingsBefore) {
            addChange(QuarantineChange.Kind.SUSPECTED, entry);
        }
        if (entry.isPoison() && (!entry.mQuarantined || entry.mPart.crashes() > crashesBefore)) {
            entry.mQuarantined = true;
            addChange(QuarantineChange.Kind.QUARANTINED, entry);
        }
    }

    /** Forgets crashes that are too old. */
    public void tick(long nowMillis) {
        mSuspects
                .values()
                .removeIf(
                        entry -> {
                            entry.mPart.dropUntil(nowMillis - MAX_MILLIS);
                            if (entry.mPart.isEmpty() && entry.mQuarantined) {
                                addChange(QuarantineChange.Kind.FORGOTTEN, entry);
                            }
                            return entry.mPart.isEmpty();
                        });
    }

    private void dropExcess() {
        while (mSuspects.size() > MAX_SUSPECTS) {
            mSuspects.values().stream()
                    .min(
                            Comparator.comparingInt((Entry each) -> each.mPart.crashes())
                                    .thenComparingLong(each -> each.mPart.lastMillis()))
                    .ifPresent(each -> mSuspects.remove(each.mPart.key()));
        }
    }

    /**
     * Returns what changed here for another instance; empty if it knows everything.
     *
     * @param knownVersion the version up to which it knows what is known here
     */
    public Optional<SuspectUpdate> updateFor(long knownVersion) {
        // A version above the own one is of an earlier incarnation of this instance.
        long known = knownVersion > mVersion ? 0 : knownVersion;
        if (known == mVersion) {
            return Optional.empty();
        }
        List<Entry> changed =
                mSuspects.values().stream()
                        .filter(entry -> entry.mVersion > known)
                        .sorted(Comparator.comparingLong(entry -> entry.mVersion))
                        .limit(MAX_REPORTS)
                        .toList();
        boolean all = changed.size() < MAX_REPORTS;
        long version = all ? mVersion : changed.get(MAX_REPORTS - 1).mVersion;
        return Optional.of(
                new SuspectUpdate(
                        version,
                        changed.stream()
                                .map(
                                        entry ->
                                                new SuspectReport(
                                                        entry.mPart.key(), entry.mPart.sightings()))
                                .toList()));
    }

    /** Returns a number that grows with each change of what is known. */
    public long version() {
        return mVersion;
    }

    /** Returns the number of parts that are suspected at present. */
    public long suspectedCount() {
        return mSuspects.values().stream().filter(entry -> entry.mPart.crashes() > 0).count();
    }

    /** Returns the number of parts that are quarantined at present. */
    public long quarantinedCount(long nowMillis) {
        return mSuspects.values().stream().filter(entry -> nowMillis < entry.endMillis()).count();
    }

    /** Returns the changes since the last call, for the log. */
    public List<QuarantineChange> takeChanges() {
        List<QuarantineChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    private void addChange(QuarantineChange.Kind kind, Entry entry) {
        mChanges.add(
                new QuarantineChange(
                        kind,
                        entry.mPart.key(),
                        entry.mPart.crashes(),
                        entry.mPart.describeEvidence(),
                        entry.endMillis()));
    }

    private Set<PartKey> indistinguishable(Entry entry) {
        Set<PartKey> keys = new HashSet<>();
        for (Entry other : mSuspects.values()) {
            if (other.mPart.key().service().equals(entry.mPart.key().service())
                    && entry.mPart.isAlwaysWith(other.mPart)) {
                keys.add(other.mPart.key());
            }
        }
        return keys;
    }

    /** Returns the parts of a prompt without the last one, which no other request shares. */
    private static Set<PartKey> keys(String service, Prompt prompt) {
        Set<PartKey> keys = new LinkedHashSet<>();
        for (PromptPart part : prompt.sharedParts()) {
            keys.add(PartKey.of(service, part));
        }
        return keys;
    }

    private static final class Entry {
        private final SuspectPart mPart;

        /** The version at which the part changed last. */
        private long mVersion;

        private boolean mQuarantined;
        private long mProbeEndMillis = NEVER;

        private Entry(SuspectPart part) {
            mPart = part;
        }

        private boolean isPoison() {
            return mPart.crashes() >= MIN_CRASHES && mPart.requests().size() >= MIN_REQUESTS;
        }

        /** Returns when the quarantine ends; in the past if the part is not quarantined. */
        private long endMillis() {
            if (!isPoison()) {
                return NEVER;
            }
            int doublings = Math.min(10, mPart.crashes() - MIN_CRASHES);
            return mPart.lastMillis() + Math.min(MAX_MILLIS, BASE_MILLIS << doublings);
        }

        private Quarantine quarantine(long endMillis) {
            return new Quarantine(mPart.key(), mPart.crashes(), endMillis);
        }
    }
}
