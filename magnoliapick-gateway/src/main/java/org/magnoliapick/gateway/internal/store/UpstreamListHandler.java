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
import org.magnoliapick.member.UpstreamChange;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.pool.UpstreamDirectory;

/** Takes over the list of upstreams. */
public final class UpstreamListHandler implements StoreFollower.TopicHandler {
    /**
     * The pause between readings as a part of the time until a leaving upstream has to be known.
     * Entries are renewed all the time, so a waiting call would return at once.
     */
    private static final double PAUSE_SHARE = 0.2;

    private final Dialect mDialect;
    private final EventLog mLog;
    private final UpstreamDirectory mDirectory;
    private final LongSupplier mClockMillis;
    private final Runnable mChanged;
    private final StoreRelay mRelay;
    private final long mPauseMillis;
    private boolean mChangedHere;

    /**
     * Creates a source.
     *
     * @param leavingMillis within which time a leaving upstream has to be known
     * @param changed runs when what may be used changed
     */
    public UpstreamListHandler(
            Dialect dialect,
            EventLog log,
            UpstreamDirectory directory,
            StoreRelay relay,
            LongSupplier clockMillis,
            long leavingMillis,
            Runnable changed) {
        mDialect = dialect;
        mLog = log;
        mDirectory = directory;
        mClockMillis = clockMillis;
        mChanged = changed;
        mRelay = relay;
        mPauseMillis = (long) (leavingMillis * PAUSE_SHARE);
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
    public void whole(List<StoreRecord> records, long endOffset) {
        Set<UpstreamId> listed = new HashSet<>();
        records.stream()
                .filter(each -> !each.dropsKey() && isId(each.key()))
                .forEach(each -> listed.add(new UpstreamId(each.key())));
        boolean changed = mDirectory.retainAll(listed, endOffset, mClockMillis.getAsLong());
        take(records, changed);
        mRelay.fullListRead(endOffset, mClockMillis.getAsLong());
    }

    @Override
    public void added(List<StoreRecord> records) {
        take(records, false);
    }

    /** Takes records that another instance read. */
    public void told(List<UpstreamChange> changes) {
        List<StoreRecord> records =
                changes.stream()
                        .map(each -> new StoreRecord(each.key(), each.valueBytes(), each.offset()))
                        .toList();
        boolean changed = false;
        for (StoreRecord record : records) {
            changed |= take(record);
        }
        if (changed) {
            mChanged.run();
        }
    }

    @Override
    public boolean readUpTo(long endOffset, long asOfMillis) {
        boolean changed = mChangedHere;
        mChangedHere = false;
        if (mDirectory.isCurrent(mClockMillis.getAsLong())) {
            mRelay.listRead(endOffset, asOfMillis);
        } else {
            mRelay.listReadAfterOutage(endOffset);
        }
        return changed;
    }

    @Override
    public boolean covered() {
        return mRelay.listFreshFromPeers(mClockMillis.getAsLong());
    }

    private void take(List<StoreRecord> records, boolean changedBefore) {
        boolean changed = changedBefore;
        for (StoreRecord record : records) {
            if (take(record)) {
                changed = true;
                mChangedHere = true;
                mRelay.listChanged(
                        new UpstreamChange(
                                record.key(), ByteBuffer.wrap(record.value()), record.offset()));
            }
        }
        if (changed) {
            mChanged.run();
        }
    }

    private boolean take(StoreRecord record) {
        long nowMillis = mClockMillis.getAsLong();
        if (!isId(record.key())) {
            mLog.line("upstream.unreadable").with("offset", record.offset()).log();
            return false;
        }
        UpstreamId id = new UpstreamId(record.key());
        if (record.dropsKey()) {
            boolean changed = mDirectory.remove(id, record.offset(), nowMillis);
            mLog.line("upstream.ended").with("upstream", id).with("changed", changed).log();
            return changed;
        }
        Optional<ListedUpstream> upstream = read(id, record);
        if (upstream.isEmpty()) {
            mLog.line("upstream.unreadable").with("upstream", id).log();
            return false;
        }
        boolean changed = mDirectory.put(upstream.get(), record.offset(), nowMillis);
        if (changed) {
            mLog.line("upstream.listed")
                    .with("upstream", id)
                    .with("leaving", upstream.get().leaving())
                    .with("offset", record.offset())
                    .log();
        }
        return changed;
    }

    private static boolean isId(String key) {
        return !key.isBlank() && key.length() <= Identifiers.MAX_LENGTH_CHARS;
    }

    /** Reads a record; one that makes no sense names no upstream and harms no other. */
    private Optional<ListedUpstream> read(UpstreamId id, StoreRecord record) {
        try {
            return mDialect.readUpstream(id, record.value());
        } catch (RuntimeException e) {
            mLog.line("upstream.fault").with("upstream", id).with("fault", e).log();
            return Optional.empty();
        }
    }

    @Override
    public void lost() {
        mDirectory.listUnavailable(mClockMillis.getAsLong());
    }

    @Override
    public void back() {
        mDirectory.listAvailable(mClockMillis.getAsLong());
    }
}
