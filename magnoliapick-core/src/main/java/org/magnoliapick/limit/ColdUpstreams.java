package org.magnoliapick.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.UpstreamIncarnation;

/**
 * The upstreams that are cold, as far as this instance knows: from the list of upstreams, from
 * responses, and from other instances. A state ends by time. A statement of the list or of another
 * instance only begins or extends a state, since it may have been made before the state began; only
 * a response to a request that was sent later ends it early.
 */
public final class ColdUpstreams {
    /** The longest time that an upstream may state, in milliseconds; more is no cold state. */
    public static final long MAX_COLD_MILLIS = 3_600_000;

    /**
     * The maximum time between the decision and the sending of a request to a cold upstream, in
     * milliseconds: small compared with the second in which its requests are counted.
     */
    public static final long MAX_SEND_DELAY_MILLIS = 200;

    /**
     * The time by which a later end has to differ to be reported to other instances, in
     * milliseconds, since each renewal of an entry states an end that differs slightly.
     */
    private static final long MIN_EXTENSION_MILLIS = 100;

    /**
     * The longest delay of a statement between instances, in milliseconds. Two statements of the
     * same duration that are less than that apart are the same.
     */
    private static final long MAX_TRANSIT_MILLIS = 1_000;

    /** The offset of an entry whose log was replaced. */
    private static final long NO_OFFSET = -1;

    /** The maximum number of listed incarnations that are kept to recognize later ones. */
    private static final int MAX_LISTED = 16_384;

    /** The maximum number of cold states that are kept. */
    private static final int MAX_STATES = 2_048;

    /** The maximum number of states in one update. */
    private static final int MAX_REPORTS = 32;

    private final Map<UpstreamId, Entry> mEntries = new HashMap<>();
    private final Map<UpstreamId, Listed> mListed =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<UpstreamId, Listed> eldest) {
                    return size() > MAX_LISTED;
                }
            };
    private final List<ColdChange> mChanges = new ArrayList<>();

    /** For each service with a cold state how long its upstreams are cold, in milliseconds. */
    private Map<String, Long> mColdMillis = Map.of();

    private long mVersion;
    private long mChangeCount;

    /**
     * Sets the services whose upstreams have a cold state.
     *
     * @param coldMillis for each how long an upstream is cold after it started, in milliseconds
     */
    public void configure(Map<String, Long> coldMillis) {
        if (!mColdMillis.equals(coldMillis)) {
            mColdMillis = Map.copyOf(coldMillis);
            mChangeCount++;
        }
    }

    /**
     * Records an entry of the list of upstreams. An incarnation that is listed after the first
     * reading and does not state its cold state has just started.
     *
     * @param leftMillis how much longer it states to be cold; empty if it states nothing
     * @param offset the offset of the entry; what is not after the last known one is ignored
     * @param firstReading whether the entry belongs to the first reading of the list
     * @param readMillis when the entry was read
     * @return whether a cold state began or was extended
     */
    public boolean recordListed(
            UpstreamIncarnation incarnation,
            String service,
            OptionalLong leftMillis,
            long offset,
            boolean firstReading,
            long readMillis) {
        Listed known = mListed.get(incarnation.upstream());
        boolean started = known == null || known.startedMillis() != incarnation.startedMillis();
        if (known != null && isOutdated(incarnation.startedMillis(), offset, known)) {
            return false;
        }
        mListed.put(incarnation.upstream(), new Listed(incarnation.startedMillis(), offset));
        if (leftMillis.isEmpty() ? firstReading || !started : leftMillis.getAsLong() <= 0) {
            return false;
        }
        OptionalLong endMillis =
                leftMillis.isEmpty()
                        ? OptionalLong.empty()
                        : OptionalLong.of(readMillis + leftMillis.getAsLong());
        return apply(new ColdStatement(incarnation, service, readMillis, endMillis), "list")
                && mColdMillis.containsKey(service);
    }

    private static boolean isOutdated(long startedMillis, long offset, Listed known) {
        if (startedMillis == known.startedMillis()) {
            return offset <= known.offset();
        }
        return known.offset() == NO_OFFSET
                ? startedMillis < known.startedMillis()
                : offset < known.offset();
    }

    /** Records that the list no longer has an upstream. */
    public void recordRemoved(UpstreamId upstream) {
        Listed known = mListed.get(upstream);
        // Without a start time a later incarnation cannot be told from the removed one.
        if (known != null && known.startedMillis() == 0) {
            mListed.remove(upstream);
        }
    }

    /** Records that the offsets of the list start anew. */
    public void listRestored() {
        mListed.replaceAll((id, each) -> new Listed(each.startedMillis(), NO_OFFSET));
    }

    /**
     * Records what a response of an upstream stated.
     *
     * @param leftMillis how much longer it is cold, in milliseconds
     * @param request the request that was responded to
     * @param sentMillis when the request was sent
     */
    public void recordResponse(
            UpstreamIncarnation incarnation,
            String service,
            long leftMillis,
            String request,
            long sentMillis,
            long nowMillis) {
        if (leftMillis > 0) {
            apply(
                    new ColdStatement(
                            incarnation,
                            service,
                            nowMillis,
                            OptionalLong.of(nowMillis + leftMillis)),
                    "request " + request);
            return;
        }
        Entry entry = mEntries.get(incarnation.upstream());
        if (entry != null
                && entry.mStatement.incarnation().equals(incarnation)
                && sentMillis >= entry.mStatement.seenMillis()) {
            end(entry, "request " + request);
        }
    }

    /**
     * Applies what another instance knows.
     *
     * @param from the name of the instance
     */
    public void applyUpdate(ColdUpdate update, String from, long nowMillis) {
        for (ColdStatement each : update.statements()) {
            boolean ended = isConfigured(each) && statedEnd(each) <= nowMillis;
            if (!ended && !isKnown(each)) {
                apply(each, "instance " + from);
            }
        }
    }

    /**
     * Returns whether a statement is the one that is known here. The way between instances delays
     * its times, so it would extend the state each time that it returns.
     */
    private boolean isKnown(ColdStatement statement) {
        Entry entry = mEntries.get(statement.incarnation().upstream());
        if (entry == null || !entry.mStatement.incarnation().equals(statement.incarnation())) {
            return false;
        }
        ColdStatement known = entry.mStatement;
        long laterMillis = Math.abs(statement.seenMillis() - known.seenMillis());
        return known.statedMillis().equals(statement.statedMillis())
                && laterMillis < MAX_TRANSIT_MILLIS;
    }

    /** Applies a statement; returns whether a state began or was extended. */
    private boolean apply(ColdStatement statement, String evidence) {
        UpstreamId id = statement.incarnation().upstream();
        Entry entry = mEntries.get(id);
        boolean replaces = true;
        if (entry != null) {
            ColdStatement known = entry.mStatement;
            long knownStart = known.incarnation().startedMillis();
            long newStart = statement.incarnation().startedMillis();
            replaces =
                    newStart > knownStart
                            || (newStart == knownStart
                                    && statedEnd(statement)
                                            >= statedEnd(known) + MIN_EXTENSION_MILLIS);
        }
        if (!replaces) {
            return false;
        }
        boolean begins = entry == null || entry.mLogged != statement.incarnation().startedMillis();
        Entry updated = new Entry(statement, ++mVersion, evidence);
        updated.mLogged = begins ? Entry.NOT_LOGGED : entry.mLogged;
        mEntries.put(id, updated);
        mChangeCount++;
        dropExcess();
        return true;
    }

    /** Returns when a state ends, by what was stated or else by the configuration. */
    private long statedEnd(ColdStatement statement) {
        return statement
                .endMillis()
                .orElseGet(
                        () ->
                                statement.seenMillis()
                                        + mColdMillis.getOrDefault(statement.service(), 0L));
    }

    private boolean isConfigured(ColdStatement statement) {
        return mColdMillis.containsKey(statement.service());
    }

    /**
     * Returns when the cold state of an incarnation of an upstream ends; absent if it is not cold
     * or its service has no cold state.
     */
    public OptionalLong endMillis(UpstreamIncarnation incarnation) {
        Entry entry = mEntries.get(incarnation.upstream());
        return entry != null
                        && entry.mStatement.incarnation().equals(incarnation)
                        && isConfigured(entry.mStatement)
                ? OptionalLong.of(statedEnd(entry.mStatement))
                : OptionalLong.empty();
    }

    /**
     * Returns whether a request may be sent some time after it was decided. Requests that are sent
     * late meet those that were decided later, so together they exceed the rate of a cold upstream.
     */
    public boolean mayBeSent(UpstreamIncarnation incarnation, long decidedMillis, long nowMillis) {
        OptionalLong endMillis = endMillis(incarnation);
        return nowMillis - decidedMillis <= MAX_SEND_DELAY_MILLIS
                || endMillis.isEmpty()
                || endMillis.getAsLong() <= nowMillis;
    }

    /** Removes the states that have ended and notes which began, for the log. */
    public void tick(long nowMillis) {
        for (Entry entry : List.copyOf(mEntries.values())) {
            ColdStatement statement = entry.mStatement;
            boolean configured = isConfigured(statement);
            long startedMillis = statement.incarnation().startedMillis();
            long remainingMillis = statedEnd(statement) - nowMillis;
            if (configured && remainingMillis > 0 && entry.mLogged != startedMillis) {
                entry.mLogged = startedMillis;
                mChanges.add(
                        new ColdChange(
                                statement.incarnation(), true, remainingMillis, entry.mEvidence));
            }
            // The service of an unconfigured one may be configured soon, as at the start.
            boolean expired =
                    configured
                            ? remainingMillis <= 0
                            : nowMillis - statement.seenMillis() > MAX_COLD_MILLIS;
            if (expired) {
                end(entry, "time");
            }
        }
    }

    private void end(Entry entry, String evidence) {
        mEntries.remove(entry.mStatement.incarnation().upstream());
        mChangeCount++;
        if (entry.mLogged != Entry.NOT_LOGGED) {
            mChanges.add(new ColdChange(entry.mStatement.incarnation(), false, 0, evidence));
        }
    }

    private void dropExcess() {
        while (mEntries.size() > MAX_STATES) {
            mEntries.values().stream()
                    .min(Comparator.comparingLong(entry -> entry.mStatement.seenMillis()))
                    .ifPresent(oldest -> end(oldest, "too many"));
        }
    }

    /**
     * Returns what changed here for another instance; empty if it knows everything.
     *
     * @param knownVersion the version up to which it knows what is known here
     */
    public Optional<ColdUpdate> updateFor(long knownVersion) {
        // A version above the own one is of an earlier incarnation of this instance.
        long known = knownVersion > mVersion ? 0 : knownVersion;
        if (known == mVersion || mColdMillis.isEmpty()) {
            return Optional.empty();
        }
        List<Entry> changed =
                mEntries.values().stream()
                        .filter(entry -> entry.mVersion > known && isConfigured(entry.mStatement))
                        .sorted(Comparator.comparingLong(entry -> entry.mVersion))
                        .limit(MAX_REPORTS)
                        .toList();
        boolean all = changed.size() < MAX_REPORTS;
        long version = all ? mVersion : changed.get(MAX_REPORTS - 1).mVersion;
        return Optional.of(
                new ColdUpdate(version, changed.stream().map(each -> each.mStatement).toList()));
    }

    /** Returns a number that grows with each change of a state. */
    public long changeCount() {
        return mChangeCount;
    }

    /** Returns the number of upstreams that are cold. */
    public long coldCount(long nowMillis) {
        return mEntries.values().stream()
                .map(entry -> entry.mStatement)
                .filter(each -> isConfigured(each) && statedEnd(each) > nowMillis)
                .count();
    }

    /** Returns the changes since the last call, for the log. */
    public List<ColdChange> takeChanges() {
        List<ColdChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /** A listed incarnation and the offset of its entry. */
    private record Listed(long startedMillis, long offset) {}

    private static final class Entry {
        private static final long NOT_LOGGED = Long.MIN_VALUE;

        private final ColdStatement mStatement;
        private final long mVersion;
        private final String mEvidence;

        /** The start of the incarnation whose cold state was logged. */
        private long mLogged = NOT_LOGGED;

        private Entry(ColdStatement statement, long version, String evidence) {
            mStatement = statement;
            mVersion = version;
            mEvidence = evidence;
        }
    }
}
