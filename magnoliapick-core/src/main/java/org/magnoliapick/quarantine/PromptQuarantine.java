package org.magnoliapick.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.relay.RequestContent;

/**
 * Refuses poison requests: those that make each upstream crash that runs them, by a prompt part
 * that they have in common or as repetitions of one request. Each of them would cost an upstream
 * with all its requests, so what they have in common has to be found from few crashes.
 *
 * <p>The prompt parts and the fingerprint of a request are suspected if the request had received
 * nothing when its upstream crashed. Any later answer to a request that has the part or fingerprint
 * refutes this, and so does one shortly before the crash. After several crashes without an answer
 * it is quarantined, as soon as other instances had time to refute it; before that and when the
 * quarantine ends, single requests are sent as probes. What is sound but always occurs together
 * with the poison looks the same, so a request is refused only if it has everything that cannot be
 * told apart. The last part of a prompt is never suspected: it belongs to one request or session.
 *
 * <p>Instances exchange the crashes that they noticed. What is known is a set of crashes that are
 * refuted or not; sets are merged, so the order and repetition of messages do not matter.
 */
public final class PromptQuarantine {
    /** How long a crash is remembered, in milliseconds. */
    private static final long MAX_AGE_MILLIS = 600_000;

    /**
     * How long an answer before a crash speaks for a part or fingerprint, in milliseconds: what is
     * answered all the time is not suspected at each crash.
     */
    private static final long TRUST_MILLIS = 3_000;

    private final SuspectTable mSuspects = new SuspectTable();
    private final AnswerTimes mAnswers = new AnswerTimes();
    private final List<QuarantineChange> mChanges = new ArrayList<>();

    /** Returns the quarantine that a request falls under. */
    public Optional<Quarantine> find(RequestContent content, long nowMillis) {
        if (mSuspects.isEmpty()) {
            return Optional.empty();
        }
        Set<SuspectKey> keys = SuspectKey.of(content);
        return keys.stream()
                .flatMap(key -> mSuspects.find(key).stream())
                .filter(each -> each.isQuarantined(nowMillis))
                .filter(each -> appliesTo(each, keys))
                .map(Suspect::quarantine)
                .max(Comparator.comparingLong(Quarantine::endMillis));
    }

    /**
     * Returns the quarantine that a request falls under, as {@link #find}. Before a quarantine
     * begins and after its end, lets single requests pass as probes. Only the instance that places
     * the request calls this.
     */
    public Optional<Quarantine> admit(RequestContent content, long nowMillis) {
        Optional<Quarantine> quarantine = find(content, nowMillis);
        if (quarantine.isPresent() || mSuspects.isEmpty()) {
            return quarantine;
        }
        Set<SuspectKey> keys = SuspectKey.of(content);
        List<Suspect> suspects =
                keys.stream()
                        .flatMap(key -> mSuspects.find(key).stream())
                        .filter(Suspect::isPoison)
                        .filter(each -> appliesTo(each, keys))
                        .toList();
        Optional<Quarantine> untilProbe =
                suspects.stream()
                        .flatMap(each -> each.untilProbe(nowMillis).stream())
                        .max(Comparator.comparingLong(Quarantine::endMillis));
        if (untilProbe.isPresent()) {
            return untilProbe;
        }
        for (Suspect each : suspects) {
            each.probed(nowMillis);
            addChange(QuarantineChange.Kind.PROBED, each);
        }
        return Optional.empty();
    }

    /**
     * Returns whether a request that lost its upstream without any answer is to be sent to another
     * one: not if an upstream crashed in the same way before with a repetition of it, or with
     * another request that has one of its parts, and no answer refuted this. A part that was ever
     * answered needs several crashes, since each takes sound requests with it.
     */
    public boolean mayRetry(RequestContent content) {
        return SuspectKey.of(content).stream()
                .flatMap(key -> mSuspects.find(key).stream())
                .noneMatch(each -> isAccusedByAnother(each, content));
    }

    private boolean isAccusedByAnother(Suspect suspect, RequestContent content) {
        if (suspect.key().kind() == SuspectKey.Kind.FINGERPRINT) {
            return suspect.crashes() > 0;
        }
        return (suspect.crashes() > 1 || mAnswers.last(suspect.key()).isEmpty())
                && suspect.requests().stream()
                        .anyMatch(each -> !each.equals(content.fingerprint().toString()));
    }

    /**
     * Records that an upstream crashed while a request had received nothing of its answer.
     *
     * @param startedMillis when that incarnation of the upstream started
     * @param crashedMillis when the crash was noticed
     */
    public void recordCrash(
            RequestContent content,
            UpstreamId upstream,
            long startedMillis,
            long crashedMillis,
            long nowMillis) {
        for (SuspectKey key : SuspectKey.of(content)) {
            Sighting sighting =
                    new Sighting(
                            upstream,
                            startedMillis,
                            new TreeSet<>(Set.of(content.fingerprint().toString())),
                            crashedMillis,
                            false);
            if (crashedMillis > trustedUntilMillis(key)) {
                add(key, sighting, nowMillis);
            }
        }
        mSuspects.dropExcess();
    }

    /** Records that a request received an event, or its whole answer if that is no stream. */
    public void recordAnswer(RequestContent content, long nowMillis) {
        for (SuspectKey key : SuspectKey.of(content)) {
            mAnswers.record(key, nowMillis);
            refuteTrusted(key);
        }
    }

    private void refuted(Suspect suspect) {
        mSuspects.changed(suspect);
        addChange(QuarantineChange.Kind.REFUTED, suspect);
    }

    /** Returns up to when crashes are refuted by the last answer that this instance relayed. */
    private long trustedUntilMillis(SuspectKey key) {
        OptionalLong answeredMillis = mAnswers.last(key);
        return answeredMillis.isPresent()
                ? answeredMillis.getAsLong() + TRUST_MILLIS
                : Long.MIN_VALUE;
    }

    /** Applies what another instance knows; times are of this instance's clock. */
    public void applyUpdate(SuspectUpdate update, long nowMillis) {
        for (SuspectReport report : update.suspects()) {
            for (Sighting each : report.sightings()) {
                add(report.key(), each, nowMillis);
            }
            refuteTrusted(report.key());
        }
        mSuspects.dropExcess();
    }

    /** Refutes crashes before an answer and shortly after it, whoever reported them. */
    private void refuteTrusted(SuspectKey key) {
        mSuspects
                .find(key)
                .filter(each -> each.refuteUntil(trustedUntilMillis(key)))
                .ifPresent(this::refuted);
    }

    private void add(SuspectKey key, Sighting sighting, long nowMillis) {
        Suspect suspect = mSuspects.getOrAdd(key);
        int crashesBefore = suspect.crashes();
        int sightingsBefore = suspect.unrefuted().size();
        if (!suspect.add(sighting)) {
            return;
        }
        mSuspects.changed(suspect);
        if (suspect.unrefuted().size() > sightingsBefore) {
            addChange(QuarantineChange.Kind.SUSPECTED, suspect);
        }
        if (suspect.isQuarantined(nowMillis)
                && (!suspect.isAnnounced() || suspect.crashes() > crashesBefore)) {
            announce(suspect);
        }
    }

    private void announce(Suspect suspect) {
        suspect.announced();
        addChange(QuarantineChange.Kind.QUARANTINED, suspect);
    }

    /** Begins quarantines that were not refuted in time and forgets crashes that are too old. */
    public void tick(long nowMillis) {
        for (Suspect suspect : mSuspects.all()) {
            if (!suspect.isAnnounced() && suspect.isQuarantined(nowMillis)) {
                mSuspects.quarantineBegun();
                announce(suspect);
            }
        }
        mSuspects.removeIf(
                suspect -> {
                    suspect.dropUntil(nowMillis - MAX_AGE_MILLIS);
                    if (suspect.isEmpty() && suspect.isAnnounced()) {
                        addChange(QuarantineChange.Kind.FORGOTTEN, suspect);
                    }
                    return suspect.isEmpty();
                });
    }

    /**
     * Returns what changed here for another instance; empty if it knows everything.
     *
     * @param knownVersion the version up to which it knows what is known here
     */
    public Optional<SuspectUpdate> updateFor(long knownVersion) {
        return mSuspects.updateFor(knownVersion);
    }

    /** Returns a number that grows with each change of what is known. */
    public long version() {
        return mSuspects.version();
    }

    /** Returns the number of suspects of a kind at present. */
    public long suspectedCount(SuspectKey.Kind kind) {
        return mSuspects.all().stream()
                .filter(each -> each.key().kind() == kind && each.crashes() > 0)
                .count();
    }

    /** Returns the number of suspects of a kind that are quarantined at present. */
    public long quarantinedCount(SuspectKey.Kind kind, long nowMillis) {
        return mSuspects.all().stream()
                .filter(each -> each.key().kind() == kind && each.isQuarantined(nowMillis))
                .count();
    }

    /** Returns the changes since the last call, for the log. */
    public List<QuarantineChange> takeChanges() {
        List<QuarantineChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    private void addChange(QuarantineChange.Kind kind, Suspect suspect) {
        mChanges.add(
                new QuarantineChange(
                        kind,
                        suspect.key(),
                        suspect.crashes(),
                        suspect.describeEvidence(),
                        suspect.endMillis()));
    }

    private boolean appliesTo(Suspect suspect, Set<SuspectKey> keys) {
        return suspect.key().kind() == SuspectKey.Kind.FINGERPRINT
                || keys.containsAll(mSuspects.indistinguishable(suspect));
    }
}
