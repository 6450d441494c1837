package org.magnoliapick.gateway.internal.store;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.StoreTopic;
import org.magnoliapick.gateway.internal.http.BufferingHttpClient;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.limit.ColdUpstreams;
import org.magnoliapick.member.StorePosition;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.member.StoreUpdate;
import org.magnoliapick.member.UpstreamChange;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.route.TrafficConfig;

/**
 * Follows the configuration and the list of upstreams, by calls to the store or by updates from the
 * instance that reads the store for others.
 */
public final class StoreReader {
    private final GatewaySettings mSettings;
    private final EventLoop mLoop;
    private final Connector mConnector;
    private final Dialect mDialect;
    private final EventLog mLog;
    private final LongSupplier mClockMillis;
    private final UpstreamDirectory mDirectory;
    private final ColdUpstreams mCold;
    private final StoreRelay mStoreRelay;
    private final BooleanSupplier mReadsForOthers;
    private UpstreamListHandler mUpstreamHandler;
    private StoreFollower mListFollower;
    private StoreFollower mConfigFollower;

    /**
     * Creates a reader that is not started.
     *
     * @param readsForOthers returns whether this instance reads the store for other instances
     */
    public StoreReader(
            GatewaySettings settings,
            EventLoop loop,
            Connector connector,
            Dialect dialect,
            EventLog log,
            LongSupplier clockMillis,
            UpstreamDirectory directory,
            ColdUpstreams cold,
            StoreRelay storeRelay,
            BooleanSupplier readsForOthers) {
        mSettings = settings;
        mLoop = loop;
        mConnector = connector;
        mDialect = dialect;
        mLog = log;
        mClockMillis = clockMillis;
        mDirectory = directory;
        mCold = cold;
        mStoreRelay = storeRelay;
        mReadsForOthers = readsForOthers;
    }

    /**
     * Starts reading.
     *
     * @param onConfig receives newer versions of the configuration
     * @param onUpstreamsChanged runs when the set of usable upstreams changed
     * @param onLocalChange runs when a call to the store returned a change
     */
    public void start(
            Consumer<TrafficConfig> onConfig, Runnable onUpstreamsChanged, Runnable onLocalChange) {
        EvacuationReader evacuations =
                new EvacuationReader(
                        mDialect, mLog, mDirectory.evacuated(), mStoreRelay, onUpstreamsChanged);
        ConfigHandler config =
                new ConfigHandler(
                        mDialect,
                        mLog,
                        evacuations,
                        mStoreRelay,
                        mClockMillis,
                        mSettings.bounds().configTopicMillis(),
                        onConfig);
        mConfigFollower = newFollower(config, onLocalChange);
        mConfigFollower.start();
        mUpstreamHandler =
                new UpstreamListHandler(
                        mDialect,
                        mLog,
                        mDirectory,
                        mCold,
                        mStoreRelay,
                        mClockMillis,
                        mSettings.bounds().leavingMillis(),
                        onUpstreamsChanged);
        mListFollower = newFollower(mUpstreamHandler, onLocalChange);
        mListFollower.start();
    }

    /**
     * Applies an update from another instance. Configuration records are not part of an update: if
     * it names a newer configuration offset, the configuration is read from the store at once. This
     * instance's own reads of the list continue after the changes received. An update of another
     * epoch is ignored: either the sender has not noticed that the store was restored, or this
     * instance has not, and then it reads by itself.
     */
    public void applyUpdate(StoreUpdate update) {
        if (update.epoch() != mStoreRelay.epoch()) {
            return;
        }
        long nowMillis = mClockMillis.getAsLong();
        List<UpstreamChange> changes = mStoreRelay.applyUpdate(update, nowMillis);
        if (!changes.isEmpty()) {
            mUpstreamHandler.applyPeerChanges(changes);
        }
        if (mStoreRelay.listFreshFromPeers(nowMillis)) {
            mListFollower.skipTo(mStoreRelay.listOffset());
        }
        if (mStoreRelay.configOffset() < update.configOffset()) {
            mConfigFollower.readNow();
        }
    }

    /**
     * Applies up to where another instance knows the store's logs. If it knows a later epoch or a
     * later version of the configuration, this instance reads the store at once. The epoch itself
     * is only taken from the store's own responses.
     */
    public void positionReported(StorePosition position) {
        mStoreRelay.versionReported(position.configVersion());
        if (position.epoch() > mStoreRelay.epoch()) {
            mListFollower.readNow();
            mConfigFollower.readNow();
        }
    }

    /** Handles the epoch that a response of the store names. */
    private boolean epochNamed(long epoch, StoreTopic topic, long nextOffset) {
        long known = mStoreRelay.epoch();
        if (epoch <= known) {
            return epoch == known;
        }
        if (mStoreRelay.advanceEpoch(epoch)) {
            mLog.line("store.restored")
                    .with("epoch", epoch)
                    .with("before", known)
                    .with("topic", topic)
                    .with("nextOffset", nextOffset)
                    .log();
            mConfigFollower.restart();
            mListFollower.restart();
        }
        return true;
    }

    private StoreFollower newFollower(StoreFollower.TopicHandler handler, Runnable onLocalChange) {
        BufferingHttpClient calls =
                new BufferingHttpClient(mLoop, mConnector, mSettings.storeAddress(), mClockMillis);
        return new StoreFollower(
                mLoop,
                calls,
                mDialect,
                handler,
                mLog,
                mClockMillis,
                mReadsForOthers,
                onLocalChange,
                this::epochNamed);
    }
}
