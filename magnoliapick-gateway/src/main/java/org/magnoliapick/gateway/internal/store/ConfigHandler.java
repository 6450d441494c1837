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

/**
 * Applies the topic that holds the configuration and the evacuations of failure domains; ignores a
 * version of the configuration that is not newer than the last.
 */
public final class ConfigHandler implements StoreFollower.TopicHandler {
    /**
     * Fraction of the time within which a version has to be in force that a long poll may wait. A
     * long poll that starts while a version is being appended may wait its full time and still miss
     * it; half of the time leaves enough for the next call.
     */
    private static final double WAIT_FRACTION = 0.5;

    private final Dialect mDialect;
    private final EventLog mLog;
    private final Consumer<TrafficConfig> mSink;
    private final EvacuationReader mEvacuations;
    private final StoreRelay mStoreRelay;
    private final LongSupplier mClockMillis;
    private final long mWaitMillis;
    private long mVersion = Long.MIN_VALUE;

    /**
     * Creates a handler.
     *
     * @param evacuations applies the records of evacuations
     * @param inForceMillis time within which a new record has to be in force
     * @param sink receives each newer version
     */
    public ConfigHandler(
            Dialect dialect,
            EventLog log,
            EvacuationReader evacuations,
            StoreRelay storeRelay,
            LongSupplier clockMillis,
            long inForceMillis,
            Consumer<TrafficConfig> sink) {
        mDialect = dialect;
        mLog = log;
        mSink = sink;
        mEvacuations = evacuations;
        mStoreRelay = storeRelay;
        mClockMillis = clockMillis;
        mWaitMillis = (long) (inForceMillis * WAIT_FRACTION);
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
    public void applySnapshot(List<StoreRecord> records, long endOffset) {
        mEvacuations.applySnapshot(records, endOffset);
        applyConfigs(records);
    }

    @Override
    public void applyRecords(List<StoreRecord> records) {
        mEvacuations.applyRecords(records);
        applyConfigs(records);
    }

    private void applyConfigs(List<StoreRecord> records) {
        for (StoreRecord record : records) {
            if (!record.isTombstone() && !mEvacuations.isEvacuation(record)) {
                parse(record).ifPresent(config -> applyGuarded(config, record.offset()));
            }
        }
    }

    /** Parses a record; an unreadable one is logged and must not block the records after it. */
    private Optional<TrafficConfig> parse(StoreRecord record) {
        try {
            Optional<TrafficConfig> config = mDialect.readConfig(record.key(), record.value());
            if (config.isEmpty()) {
                mLog.line("config.skipped")
                        .with("key", record.key())
                        .with("offset", record.offset())
                        .with("value", record.excerpt())
                        .log();
            }
            return config;
        } catch (RuntimeException | Error e) {
            mLog.line("config.unreadable").with("offset", record.offset()).with("fault", e).log();
            return Optional.empty();
        }
    }

    /** Applies a version; a fault is logged and must not block the versions after it. */
    private void applyGuarded(TrafficConfig config, long offset) {
        try {
            applyVersion(config, offset);
        } catch (RuntimeException e) {
            mLog.line("config.fault")
                    .with("version", config.version())
                    .with("offset", offset)
                    .with("fault", e)
                    .log();
        }
    }

    private void applyVersion(TrafficConfig config, long offset) {
        if (config.version() <= mVersion) {
            mLog.line("config.ignored")
                    .with("version", config.version())
                    .with("inForce", mVersion)
                    .with("offset", offset)
                    .log();
            return;
        }
        // After a fault in this step the version is applied once more.
        mSink.accept(config);
        mVersion = config.version();
        mStoreRelay.configInForce(mVersion, mClockMillis.getAsLong());
        mLog.line("config.in-force")
                .with("version", config.version())
                .with("offset", offset)
                .with("routes", config.routes().all().size())
                .log();
    }

    @Override
    public boolean advanceTo(long endOffset, long asOfMillis) {
        boolean changed = endOffset > mStoreRelay.configOffset();
        mStoreRelay.configRead(endOffset, asOfMillis);
        return changed;
    }

    @Override
    public boolean isCovered() {
        return mStoreRelay.configFreshFromPeers(mClockMillis.getAsLong());
    }

    @Override
    public void storeRestored() {
        // The version in force is kept; the restored log may only hold older ones as yet.
    }

    @Override
    public void storeUnavailable() {
        // The last applied version stays in force.
    }

    @Override
    public void storeAvailable() {
        // Nothing to undo: the last applied version stayed in force.
    }
}
