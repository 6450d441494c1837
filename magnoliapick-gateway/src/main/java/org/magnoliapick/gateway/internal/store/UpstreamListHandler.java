package org.magnoliapick.gateway.internal.store;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.StoreRecord;
import org.magnoliapick.gateway.StoreTopic;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.lib.Identifiers;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.ColdUpstreams;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.member.UpstreamChange;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.UpstreamDirectory;

/** Applies the records of the list of upstreams to the upstream directory. */
public final class UpstreamListHandler implements StoreFollower.TopicHandler {
    /**
     * Pause between reads, as a fraction of the time within which a leaving upstream has to be
     * known. Polling is used because entries are renewed constantly, so a long poll would return at
     * once.
     */
    private static final double PAUSE_FRACTION = 0.2;

    private final Dialect mDialect;
    private final EventLog mLog;
    private final UpstreamDirectory mDirectory;
    private final ColdUpstreams mCold;
    private final LongSupplier mClockMillis;
    private final Runnable mOnChange;
    private final StoreRelay mStoreRelay;
    private final long mPauseMillis;

    /** Whether a record read from the store changed the directory since the last advance. */
    private boolean mLocallyChanged;

    /** Whether the list was read completely. */
    private boolean mFirstRead;

    /**
     * Creates a handler.
     *
     * @param cold receives what the entries state about cold upstreams
     * @param leavingMillis time within which a leaving upstream has to be known
     * @param onChange runs when the set of usable upstreams changed
     */
    public UpstreamListHandler(
            Dialect dialect,
            EventLog log,
            UpstreamDirectory directory,
            ColdUpstreams cold,
            StoreRelay storeRelay,
            LongSupplier clockMillis,
            long leavingMillis,
            Runnable onChange) {
        mDialect = dialect;
        mLog = log;
        mDirectory = directory;
        mCold = cold;
        mClockMillis = clockMillis;
        mOnChange = onChange;
        mStoreRelay = storeRelay;
        mPauseMillis = (long) (leavingMillis * PAUSE_FRACTION);
    }

    @Override
    public StoreTopic topic() {
        return StoreTopic.UPSTREAMS;
    }

    @Override
    public long waitMillis() {
        return 0;
    }

    @Override
    public long pauseMillis() {
        return mPauseMillis;
    }

    @Override
    public void applySnapshot(List<StoreRecord> records, long endOffset) {
        Set<UpstreamId> listed = new HashSet<>();
        records.stream()
                .filter(each -> !each.isTombstone() && isValidId(each.key()))
                .forEach(each -> listed.add(new UpstreamId(each.key())));
        boolean changed = mDirectory.retainAll(listed, endOffset, mClockMillis.getAsLong());
        applyAndNotify(records, mDirectory::putFromSnapshot, changed);
        mFirstRead = true;
        mStoreRelay.fullListRead(endOffset, mClockMillis.getAsLong());
    }

    @Override
    public void applyRecords(List<StoreRecord> records) {
        applyAndNotify(records, mDirectory::put, false);
    }

    /** Applies changes of the list that another instance read. */
    public void applyPeerChanges(List<UpstreamChange> changes) {
        boolean changed = false;
        for (UpstreamChange each : changes) {
            StoreRecord record = new StoreRecord(each.key(), each.valueBytes(), each.offset());
            changed |= applyRecord(record, mDirectory::put, each.readMillis());
        }
        if (changed) {
            mOnChange.run();
        }
    }

    @Override
    public boolean advanceTo(long endOffset, long asOfMillis) {
        boolean changed = mLocallyChanged;
        mLocallyChanged = false;
        if (mDirectory.isCurrent(mClockMillis.getAsLong())) {
            mStoreRelay.listRead(endOffset, asOfMillis);
        } else {
            // Entries may have lapsed only because they could not be renewed during the outage, so
            // this read is not relayed to the other instances.
            mStoreRelay.listReadAfterOutage(endOffset);
        }
        return changed;
    }

    @Override
    public boolean isCovered() {
        return mStoreRelay.listFreshFromPeers(mClockMillis.getAsLong());
    }

    private void applyAndNotify(List<StoreRecord> records, Put put, boolean changedBefore) {
        boolean changed = changedBefore;
        long readMillis = mClockMillis.getAsLong();
        for (StoreRecord record : records) {
            if (applyRecord(record, put, readMillis)) {
                changed = true;
                mLocallyChanged = true;
                mStoreRelay.listChanged(
                        new UpstreamChange(
                                record.key(),
                                ByteBuffer.wrap(record.value()),
                                record.offset(),
                                readMillis));
            }
        }
        if (changed) {
            mOnChange.run();
        }
    }

    /** Applies a record; a fault is logged and does not affect other upstreams. */
    private boolean applyRecord(StoreRecord record, Put put, long readMillis) {
        try {
            return applyUnguarded(record, put, readMillis);
        } catch (RuntimeException | Error e) {
            mLog.line("upstream.fault")
                    .with("upstream", record.key())
                    .with("offset", record.offset())
                    .withFault(e)
                    .with("value", record.excerpt())
                    .log();
            return false;
        }
    }

    private boolean applyUnguarded(StoreRecord record, Put put, long readMillis) {
        long nowMillis = mClockMillis.getAsLong();
        if (!isValidId(record.key())) {
            mLog.line("upstream.unreadable").with("offset", record.offset()).log();
            return false;
        }
        UpstreamId id = new UpstreamId(record.key());
        if (record.isTombstone()) {
            boolean changed = mDirectory.remove(id, record.offset(), nowMillis);
            mCold.recordRemoved(id);
            mLog.line("upstream.ended").with("upstream", id).with("changed", changed).log();
            return changed;
        }
        Optional<ListedUpstream> upstream = mDialect.readUpstream(id, record.value());
        if (upstream.isEmpty()) {
            mLog.line("upstream.unreadable")
                    .with("upstream", id)
                    .with("offset", record.offset())
                    .with("value", record.excerpt())
                    .log();
            return false;
        }
        ListedUpstream entry = upstream.get();
        boolean becameCold =
                mCold.recordListed(
                        entry.incarnation(),
                        entry.service(),
                        entry.coldLeftMillis(),
                        record.offset(),
                        !mFirstRead,
                        readMillis);
        boolean changed = put.put(entry.withoutColdLeft(), record.offset(), nowMillis);
        if (changed) {
            mLog.line("upstream.listed")
                    .with("upstream", id)
                    .with("leaving", upstream.get().leaving())
                    .with("offset", record.offset())
                    .log();
        }
        return changed || becameCold;
    }

    private static boolean isValidId(String key) {
        return !key.isBlank() && key.length() <= Identifiers.MAX_LENGTH_CHARS;
    }

    @Override
    public void storeRestored() {
        mCold.listRestored();
        mDirectory.listRestored(mClockMillis.getAsLong());
    }

    @Override
    public void storeUnavailable() {
        mDirectory.listUnavailable(mClockMillis.getAsLong());
    }

    @Override
    public void storeAvailable() {
        mDirectory.listAvailable(mClockMillis.getAsLong());
    }

    /** Adds or updates an entry of the directory; returns whether the usable upstreams changed. */
    private interface Put {
        boolean put(ListedUpstream upstream, long offset, long nowMillis);
    }
}
