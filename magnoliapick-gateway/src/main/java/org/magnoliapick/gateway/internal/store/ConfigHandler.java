package org.magnoliapick.gateway.internal.store;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.StoreRecord;
import org.magnoliapick.gateway.StoreTopic;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.route.TrafficConfig;

/** Takes over versions of the configuration, never an older one than before. */
public final class ConfigHandler implements StoreFollower.TopicHandler {
    /**
     * The part of the time until a version has to be in force for which the store holds a call. A
     * call that begins while a version is added may wait all the time and not get it; half of the
     * time leaves the next call enough.
     */
    private static final double WAIT_SHARE = 0.5;

    private final Dialect mDialect;
    private final EventLog mLog;
    private final Consumer<TrafficConfig> mSink;
    private final StoreRelay mRelay;
    private final LongSupplier mClockMillis;
    private final long mWaitMillis;
    private long mVersion = Long.MIN_VALUE;

    /**
     * Creates a source.
     *
     * @param inForceMillis within which time a version has to be in force
     */
    public ConfigHandler(
            Dialect dialect,
            EventLog log,
            StoreRelay relay,
            LongSupplier clockMillis,
            long inForceMillis,
            Consumer<TrafficConfig> sink) {
        mDialect = dialect;
        mLog = log;
        mSink = sink;
        mRelay = relay;
        mClockMillis = clockMillis;
        mWaitMillis = (long) (inForceMillis * WAIT_SHARE);
    }

    @Override
    public StoreTopic topic() {
        return StoreTopic.CONFIG;
    }

    @Override
    public long waitMillis() {
        return mWaitMillis;
    }

    @Override
    public long pauseMillis() {
        return 0;
    }

    @Override
    public void whole(List<StoreRecord> records, long endOffset) {
        added(records);
    }

    @Override
    public void added(List<StoreRecord> records) {
        for (StoreRecord record : records) {
            if (!record.dropsKey()) {
                read(record).ifPresent(config -> take(config, record.offset()));
            }
        }
    }

    /** Reads a record; one that makes no sense must not keep later ones from being read. */
    private Optional<TrafficConfig> read(StoreRecord record) {
        try {
            return mDialect.readConfig(record.key(), record.value());
        } catch (RuntimeException e) {
            mLog.line("config.unreadable").with("offset", record.offset()).with("fault", e).log();
            return Optional.empty();
        }
    }

    private void take(TrafficConfig config, long offset) {
        if (config.version() <= mVersion) {
            return;
        }
        mVersion = config.version();
        mLog.line("config.in-force")
                .with("version", config.version())
                .with("offset", offset)
                .with("routes", config.routes().all().size())
                .log();
        mSink.accept(config);
    }

    @Override
    public boolean readUpTo(long endOffset, long asOfMillis) {
        boolean changed = endOffset > mRelay.configOffset();
        mRelay.configRead(endOffset, asOfMillis);
        return changed;
    }

    @Override
    public boolean covered() {
        return mRelay.configFreshFromPeers(mClockMillis.getAsLong());
    }

    @Override
    public void lost() {
        // The version in force stays.
    }

    @Override
    public void back() {
        // Nothing was assumed about the time in between.
    }
}
