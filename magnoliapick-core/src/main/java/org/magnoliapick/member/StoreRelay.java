package org.magnoliapick.member;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Lets one instance read the store for others. Who hears from it rests; who does not hear from it
 * in time reads by itself, so that a reader that is lost, frozen or cut off costs a part of the
 * time within which a change has to be known, and nothing else.
 *
 * <p>The worst case is the time that news covers plus one reading call: 0.4 of the bound for a
 * leaving upstream, 0.65 of the bound for a version.
 */
public final class StoreRelay {
    /** How much of the time for a leaving upstream the news of the list covers. */
    private static final double LIST_COVER_SHARE = 0.4;

    /** How much of the time for a version the news of the configuration covers. */
    private static final double CONFIG_COVER_SHARE = 0.65;

    /** How many changes of the list are kept for those who missed some. */
    private static final int KEPT_CHANGES = 200;

    /** How many changes one datagram holds at most. */
    private static final int MOST_CHANGES_TOLD = 60;

    private final long mListCoverMillis;
    private final long mConfigCoverMillis;
    private final Deque<UpstreamChange> mChanges = new ArrayDeque<>();
    private long mCompleteFromOffset = Long.MAX_VALUE;
    private boolean mUnsettled;
    private long mListOffset;
    private long mConfigOffset;
    private long mListReadMillis = Long.MIN_VALUE / 2;
    private long mConfigReadMillis = Long.MIN_VALUE / 2;
    private long mListHeardMillis = Long.MIN_VALUE / 2;
    private long mConfigHeardMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a relay that has read nothing.
     *
     * @param drainMillis within which time a leaving upstream has to be known
     * @param configMillis within which time a version has to be in force
     */
    public StoreRelay(long drainMillis, long configMillis) {
        mListCoverMillis = (long) (drainMillis * LIST_COVER_SHARE);
        mConfigCoverMillis = (long) (configMillis * CONFIG_COVER_SHARE);
    }

    /** Notes that the whole list was read here, up to an offset. */
    public void fullListRead(long endOffset, long asOfMillis) {
        // What changed before is not known in parts.
        mChanges.clear();
        mCompleteFromOffset = endOffset;
        listRead(endOffset, asOfMillis);
    }

    /**
     * Notes that the list was read here up to an offset.
     *
     * @param asOfMillis when the list ended there
     */
    public void listRead(long endOffset, long asOfMillis) {
        mListOffset = Math.max(mListOffset, endOffset);
        mListReadMillis = Math.max(mListReadMillis, asOfMillis);
        if (mUnsettled) {
            // Entries that lapsed ended later than their records were read.
            mUnsettled = false;
            mChanges.clear();
            mCompleteFromOffset = mListOffset;
        }
    }

    /** Notes a record of the list that changed what may be used. */
    public void listChanged(UpstreamChange change) {
        mChanges.addLast(change);
        while (mChanges.size() > KEPT_CHANGES) {
            mCompleteFromOffset = mChanges.removeFirst().offset() + 1;
        }
    }

    /** Notes the same while entries may have lapsed in an outage: others read by themselves. */
    public void listReadAfterOutage(long endOffset) {
        mListOffset = Math.max(mListOffset, endOffset);
        mListReadMillis = Long.MIN_VALUE / 2;
        mUnsettled = true;
    }

    /** Notes that the configuration was read here up to an offset. */
    public void configRead(long endOffset, long asOfMillis) {
        mConfigOffset = Math.max(mConfigOffset, endOffset);
        mConfigReadMillis = Math.max(mConfigReadMillis, asOfMillis);
    }

    /** Returns up to which offset the list is known. */
    public long listOffset() {
        return mListOffset;
    }

    /** Returns up to which offset the configuration is known. */
    public long configOffset() {
        return mConfigOffset;
    }

    /**
     * Returns what to tell an instance; empty if the store was not read here lately.
     *
     * @param knownOffset up to which offset it knows the list
     */
    public Optional<StoreUpdate> updateFor(long knownOffset, long nowMillis) {
        long listAgeMillis = nowMillis - mListReadMillis;
        long configAgeMillis = nowMillis - mConfigReadMillis;
        if (listAgeMillis > mListCoverMillis
                || configAgeMillis > mConfigCoverMillis
                || knownOffset < mCompleteFromOffset) {
            return Optional.empty();
        }
        List<UpstreamChange> missed =
                mChanges.stream().filter(each -> each.offset() >= knownOffset).toList();
        boolean all = missed.size() <= MOST_CHANGES_TOLD;
        List<UpstreamChange> told = all ? missed : missed.subList(0, MOST_CHANGES_TOLD);
        return Optional.of(
                new StoreUpdate(
                        changedBefore(knownOffset),
                        all ? mListOffset : told.get(told.size() - 1).offset() + 1,
                        listAgeMillis,
                        told,
                        mConfigOffset,
                        configAgeMillis));
    }

    /** Returns the first offset after the last change that an instance knows. */
    private long changedBefore(long knownOffset) {
        return mChanges.stream()
                .mapToLong(each -> each.offset() + 1)
                .filter(offset -> offset <= knownOffset)
                .max()
                .orElse(mCompleteFromOffset);
    }

    /** Takes news of another instance; returns the changes that are new here, in order. */
    public List<UpstreamChange> applyUpdate(StoreUpdate news, long nowMillis) {
        if (mConfigOffset >= news.configOffset()) {
            mConfigHeardMillis = Math.max(mConfigHeardMillis, nowMillis - news.configAgeMillis());
        }
        if (mListOffset < news.fromOffset()) {
            return List.of();
        }
        List<UpstreamChange> fresh =
                news.changes().stream().filter(each -> each.offset() >= mListOffset).toList();
        if (mListOffset <= news.listOffset()) {
            mListOffset = news.listOffset();
            mListHeardMillis = Math.max(mListHeardMillis, nowMillis - news.listAgeMillis());
        }
        fresh.forEach(this::listChanged);
        return fresh;
    }

    /** Returns whether another instance's news of the list are fresh enough to rest. */
    public boolean listFreshFromPeers(long nowMillis) {
        return nowMillis - mListHeardMillis <= mListCoverMillis;
    }

    /** Returns whether another instance's news of the configuration are fresh enough to rest. */
    public boolean configFreshFromPeers(long nowMillis) {
        return nowMillis - mConfigHeardMillis <= mConfigCoverMillis;
    }
}
