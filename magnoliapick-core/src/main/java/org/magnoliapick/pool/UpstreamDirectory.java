package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.UpstreamId;

/**
 * The upstreams that may get new work, as far as the list tells. An entry that ends while the list
 * is out, or shortly after, may only have lapsed: it is kept until the list has had time to get it
 * back. Entries are ordered by their offset in the list's log, so a stale page changes nothing.
 */
public final class UpstreamDirectory {
    /** How long upstreams take to list themselves again once the list is back. */
    private static final long RETURN_MILLIS = 2_000;

    private final Map<UpstreamId, Entry> mEntries = new HashMap<>();
    private boolean mListLost;
    private long mSettledMillis = Long.MIN_VALUE;

    /** Notes that the list could not be read. */
    public void listUnavailable(long nowMillis) {
        mListLost = true;
    }

    /** Notes that the list was read again; lapsed entries have some time to come back. */
    public void listAvailable(long nowMillis) {
        if (mListLost) {
            mListLost = false;
            mSettledMillis = nowMillis + RETURN_MILLIS;
        }
    }

    /** Returns whether the list is read and lapsed entries had time to come back. */
    public boolean isCurrent(long nowMillis) {
        return !mListLost && nowMillis >= mSettledMillis;
    }

    /** Takes an entry; returns whether what may be used changed. */
    public boolean put(ListedUpstream upstream, long offset, long nowMillis) {
        Entry entry = mEntries.computeIfAbsent(upstream.id(), id -> new Entry());
        if (offset < entry.mOffset) {
            return false;
        }
        Optional<ListedUpstream> before = entry.usable();
        boolean leaving =
                upstream.leaving()
                        || (entry.mUpstream != null
                                && entry.mUpstream.leaving()
                                && entry.mUpstream.sameIncarnation(upstream));
        entry.mOffset = offset;
        entry.mUpstream = leaving ? upstream.left() : upstream;
        entry.mLapsed = false;
        entry.mGone = false;
        return !before.equals(entry.usable());
    }

    /** Takes the end of an entry; returns whether what may be used changed. */
    public boolean remove(UpstreamId id, long offset, long nowMillis) {
        Entry entry = mEntries.get(id);
        if (entry == null || offset < entry.mOffset) {
            return false;
        }
        entry.mOffset = offset;
        if (mListLost || nowMillis < mSettledMillis) {
            entry.mLapsed = true;
            return false;
        }
        return entry.end();
    }

    /** Ends entries that had their time to come back; returns whether any did. */
    public boolean removeLapsed(long nowMillis) {
        boolean changed = false;
        for (Entry entry : mEntries.values()) {
            if (entry.mLapsed && !mListLost && nowMillis >= mSettledMillis) {
                changed |= entry.end();
            }
        }
        return changed;
    }

    /** Ends what a whole reading of the list did not hold; returns whether anything changed. */
    public boolean retainAll(Set<UpstreamId> listed, long endOffset, long nowMillis) {
        boolean changed = false;
        for (UpstreamId id : List.copyOf(mEntries.keySet())) {
            if (!listed.contains(id)) {
                changed |= remove(id, endOffset, nowMillis);
            }
        }
        return changed;
    }

    /** Returns the upstreams of a service that may get new work. */
    public List<ListedUpstream> usable(String service) {
        List<ListedUpstream> usable = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            entry.usable().filter(each -> each.service().equals(service)).ifPresent(usable::add);
        }
        return usable;
    }

    /** Returns every upstream that may get new work. */
    public List<ListedUpstream> usable() {
        List<ListedUpstream> usable = new ArrayList<>();
        mEntries.values().forEach(entry -> entry.usable().ifPresent(usable::add));
        return usable;
    }

    private static final class Entry {
        private ListedUpstream mUpstream;
        private long mOffset = -1;
        private boolean mLapsed;
        private boolean mGone;

        private Optional<ListedUpstream> usable() {
            return mGone || mUpstream == null || mUpstream.leaving()
                    ? Optional.empty()
                    : Optional.of(mUpstream);
        }

        private boolean end() {
            boolean usable = usable().isPresent();
            mGone = true;
            mLapsed = false;
            return usable;
        }
    }
}
