package org.magnoliapick.gateway.internal.store;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.internal.http.Connector;
import org.magnoliapick.gateway.internal.http.HttpCalls;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.member.UpstreamChange;
import org.magnoliapick.member.StoreUpdate;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.pool.UpstreamDirectory;
import org.magnoliapick.route.TrafficConfig;

/**
 * Follows the configuration and the list of upstreams, by own calls to the store or by what the
 * instance tells that reads it for others.
 */
public final class StoreReader {
    private final GatewaySettings mSettings;
    private final EventLoop mLoop;
    private final Connector mConnector;
    private final Dialect mDialect;
    private final EventLog mLog;
    private final LongSupplier mClockMillis;
    private final UpstreamDirectory mDirectory;
    private final StoreRelay mRelay;
    private final BooleanSupplier mReadsForOthers;
    private UpstreamListHandler mUpstreams;
    private StoreFollower mListFollower;
    private StoreFollower mConfigFollower;

    /**
     * Creates a reading that is not started.
     *
     * @param readsForOthers whether this instance is the one that others hear from
     */
    public StoreReader(
            GatewaySettings settings,
            EventLoop loop,
            Connector connector,
            Dialect dialect,
            EventLog log,
            LongSupplier clockMillis,
            UpstreamDirectory directory,
            StoreRelay relay,
            BooleanSupplier readsForOthers) {
        mSettings = settings;
        mLoop = loop;
        mConnector = connector;
        mDialect = dialect;
        mLog = log;
        mClockMillis = clockMillis;
        mDirectory = directory;
        mRelay = relay;
        mReadsForOthers = readsForOthers;
    }

    /**
     * Starts reading.
     *
     * @param configured takes versions of the configuration
     * @param listed runs when what may be used changed
     * @param readHere runs when a call to the store brought a change
     */
    public void start(Consumer<TrafficConfig> configured, Runnable listed, Runnable readHere) {
        ConfigHandler config =
                new ConfigHandler(
                        mDialect,
                        mLog,
                        mRelay,
                        mClockMillis,
                        mSettings.bounds().configMillis(),
                        configured);
        mConfigFollower = follower(config, readHere);
        mConfigFollower.start();
        mUpstreams =
                new UpstreamListHandler(
                        mDialect,
                        mLog,
                        mDirectory,
                        mRelay,
                        mClockMillis,
                        mSettings.bounds().leavingMillis(),
                        listed);
        mListFollower = follower(mUpstreams, readHere);
        mListFollower.start();
    }

    /** Takes what another instance read. */
    public void applyUpdate(StoreUpdate news) {
        long nowMillis = mClockMillis.getAsLong();
        List<UpstreamChange> changes = mRelay.applyUpdate(news, nowMillis);
        if (!changes.isEmpty()) {
            mUpstreams.told(changes);
        }
        if (mRelay.listFreshFromPeers(nowMillis)) {
            mListFollower.told(mRelay.listOffset());
        }
        if (mRelay.configOffset() < news.configOffset()) {
            mConfigFollower.readNow();
        }
    }

    private StoreFollower follower(StoreFollower.TopicHandler source, Runnable readHere) {
        HttpCalls calls = new HttpCalls(mLoop, mConnector, mSettings.store(), mClockMillis);
        return new StoreFollower(
                mLoop, calls, mDialect, source, mLog, mClockMillis, mReadsForOthers, readHere);
    }
}
