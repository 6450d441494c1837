package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.UpstreamId;

/**
 * The upstreams that may get new requests, according to the list of upstreams. An entry that is
 * removed while the list is unavailable, or shortly afterwards, may only have lapsed, because its
 * upstream could not renew it; it is kept until its upstream has had time to list itself again.
 * Entries are ordered by their offset in the list's log, so an outdated page changes nothing.
 *
 * <p>An upstream that stated in a response that it is leaving gets no new requests either, whatever
 * the list says, and neither does one in an evacuated failure domain.
 *
 * <p>After the list was restored from a copy, offsets start anew and the copy may list upstreams as
 * they were before. It does not bring back an incarnation that was leaving or removed, since it is
 * older than that; an upstream that still runs appends its entry again.
 */
public final class UpstreamDirectory {
    /** Time that upstreams get to list themselves again after the list was unavailable. */
    private static final long GRACE_MILLIS = 2_000;

    /**
     * The time for which removed entries are kept, in milliseconds. A copy of the list that is
     * older than that brings them back.
     */
    private static final long KEEP_REMOVED_MILLIS = 600_000;

    /** The offset of an entry that did not change in the present log. */
    private static final long NO_OFFSET = -1;

    private final Map<UpstreamId, Entry> mEntries = new HashMap<>();
    private final LeavingUpstreams mLeaving = new LeavingUpstreams();
    private final EvacuatedDomains mEvacuated = new EvacuatedDomains();
    private boolean mListUnavailable;
    private long mGraceEndMillis = Long.MIN_VALUE;

    /** Returns the upstreams that stated in responses that they are leaving. */
    public LeavingUpstreams leaving() {
        return mLeaving;
    }

    /** Returns the failure domains whose upstreams get nothing more. */
    public EvacuatedDomains evacuated() {
        return mEvacuated;
    }

    /** Returns the number of listed upstreams in a failure domain. */
    public long countIn(FailureDomain domain) {
        return mEntries.values().stream()
                .flatMap(entry -> listed(entry).stream())
                .filter(each -> each.domain().equals(domain))
                .count();
    }

    /** Records that the list could not be read. */
    public void listUnavailable(long nowMillis) {
        mListUnavailable = true;
    }

    /**
     * Records that the list was read; after it was unavailable, this starts the grace period of
     * lapsed entries.
     */
    public void listAvailable(long nowMillis) {
        if (mListUnavailable) {
            mListUnavailable = false;
            mGraceEndMillis = nowMillis + GRACE_MILLIS;
        }
    }

    /**
     * Records that the list was restored from an older copy. What it lacks has the grace period to
     * be listed again.
     */
    public void listRestored(long nowMillis) {
        mGraceEndMillis = nowMillis + GRACE_MILLIS;
        mEntries.values().forEach(entry -> entry.mOffset = NO_OFFSET);
    }

    /**
     * Adds or updates an entry of a snapshot, as {@link #put}, unless the entry was last changed
     * before the list was restored and the snapshot only holds a former state of it.
     */
    public boolean putFromSnapshot(ListedUpstream upstream, long offset, long nowMillis) {
        Entry entry = mEntries.get(upstream.id());
        boolean former = entry != null && entry.mOffset == NO_OFFSET && entry.isLaterThan(upstream);
        return !former && put(upstream, offset, nowMillis);
    }

    /** Returns whether the list is available and the grace period of lapsed entries is over. */
    public boolean isCurrent(long nowMillis) {
        return !mListUnavailable && nowMillis >= mGraceEndMillis;
    }

    /**
     * Adds or updates an entry, unless the change is outdated; returns whether the usable or
     * leaving upstreams changed. An incarnation that was leaving remains so.
     */
    public boolean put(ListedUpstream upstream, long offset, long nowMillis) {
        Entry entry = mEntries.computeIfAbsent(upstream.id(), id -> new Entry());
        if (offset < entry.mOffset) {
            return false;
        }
        Optional<ListedUpstream> before = listed(entry);
        boolean leaving =
                upstream.leaving()
                        || (entry.mUpstream != null
                                && entry.mUpstream.leaving()
                                && entry.mUpstream.sameIncarnation(upstream));
        entry.mOffset = offset;
        entry.mUpstream = leaving ? upstream.asLeaving() : upstream;
        entry.mLapsed = false;
        entry.mRemoved = false;
        return !before.equals(listed(entry));
    }

    /**
     * Removes an entry, unless the change is outdated; returns whether the usable or leaving
     * upstreams changed. During an outage of the list and the grace period the entry only counts as
     * lapsed.
     */
    public boolean remove(UpstreamId id, long offset, long nowMillis) {
        Entry entry = mEntries.get(id);
        if (entry == null || offset < entry.mOffset) {
            return false;
        }
        entry.mOffset = offset;
        if (mListUnavailable || nowMillis < mGraceEndMillis) {
            entry.mLapsed = !entry.mRemoved;
            return false;
        }
        return remove(entry, nowMillis);
    }

    /**
     * Removes lapsed entries whose grace period is over, and forgets those removed long ago;
     * returns whether the usable or leaving upstreams changed.
     */
    public boolean removeLapsed(long nowMillis) {
        boolean changed = false;
        for (Entry entry : mEntries.values()) {
            if (entry.mLapsed && !mListUnavailable && nowMillis >= mGraceEndMillis) {
                changed |= remove(entry, nowMillis);
            }
            if (entry.mUpstream != null && !entry.mRemoved) {
                mLeaving.recordListed(entry.mUpstream, nowMillis);
            }
        }
        mLeaving.tick(nowMillis);
        mEntries.values()
                .removeIf(
                        entry ->
                                entry.mRemoved
                                        && nowMillis - entry.mRemovedMillis > KEEP_REMOVED_MILLIS);
        return changed;
    }

    /**
     * Removes the entries that a complete snapshot of the list does not contain; returns whether
     * the usable or leaving upstreams changed.
     */
    public boolean retainAll(Set<UpstreamId> listed, long endOffset, long nowMillis) {
        boolean changed = false;
        for (UpstreamId id : List.copyOf(mEntries.keySet())) {
            if (!listed.contains(id)) {
                changed |= remove(id, endOffset, nowMillis);
            }
        }
        return changed;
    }

    /** Returns the upstreams of a service that may get new requests. */
    public List<ListedUpstream> usable(String service) {
        List<ListedUpstream> usable = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            usable(entry).filter(each -> each.service().equals(service)).ifPresent(usable::add);
        }
        return usable;
    }

    /** Returns all upstreams that may get new requests. */
    public List<ListedUpstream> usable() {
        List<ListedUpstream> usable = new ArrayList<>();
        mEntries.values().forEach(entry -> usable(entry).ifPresent(usable::add));
        return usable;
    }

    /** Returns whether this incarnation of an upstream may get new requests. */
    public boolean isUsable(ListedUpstream upstream) {
        return Optional.ofNullable(mEntries.get(upstream.id()))
                .flatMap(this::usable)
                .filter(upstream::sameIncarnation)
                .isPresent();
    }

    /**
     * Returns whether upstreams of a service are listed and all of them are leaving or evacuated.
     */
    public boolean areAllLeaving(String service) {
        boolean anyListed = false;
        for (Entry entry : mEntries.values()) {
            if (!entry.mRemoved
                    && entry.mUpstream != null
                    && entry.mUpstream.service().equals(service)) {
                anyListed = true;
                if (usable(entry).isPresent()) {
                    return false;
                }
            }
        }
        return anyListed;
    }

    private Optional<ListedUpstream> usable(Entry entry) {
        return entry.usable()
                .filter(each -> !mLeaving.contains(each) && !mEvacuated.contains(each.domain()));
    }

    /** Returns the upstream if it is listed, with whether it is leaving as far as is known. */
    private Optional<ListedUpstream> listed(Entry entry) {
        return Optional.ofNullable(entry.mUpstream)
                .filter(each -> !entry.mRemoved)
                .map(each -> mLeaving.contains(each) ? each.asLeaving() : each);
    }

    /** Marks an entry as removed; returns whether it was listed. */
    private boolean remove(Entry entry, long nowMillis) {
        boolean listed = listed(entry).isPresent();
        entry.remove(nowMillis);
        return listed;
    }

    private static final class Entry {
        private ListedUpstream mUpstream;

        /** The offset of the last change; {@code NO_OFFSET} if it was in a former log. */
        private long mOffset = NO_OFFSET;

        private boolean mLapsed;
        private boolean mRemoved;
        private long mRemovedMillis;

        /** Returns the upstream if it may get new requests according to the list. */
        private Optional<ListedUpstream> usable() {
            return mRemoved || mUpstream == null || mUpstream.leaving()
                    ? Optional.empty()
                    : Optional.of(mUpstream);
        }

        /** Returns whether this is a later incarnation, or the same one after its removal. */
        private boolean isLaterThan(ListedUpstream upstream) {
            return mUpstream != null
                    && (mUpstream.startedMillis() > upstream.startedMillis()
                            || (mRemoved && mUpstream.sameIncarnation(upstream)));
        }

        private void remove(long nowMillis) {
            if (!mRemoved) {
                mRemovedMillis = nowMillis;
            }
            mRemoved = true;
            mLapsed = false;
        }
    }
}
