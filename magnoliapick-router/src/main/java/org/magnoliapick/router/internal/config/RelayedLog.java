package org.magnoliapick.router.internal.config;

import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.magnoliapick.admin.ConfigFollower;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.member.FleetView;
import org.magnoliapick.member.Rendezvous;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.ports.AppendResult;
import org.magnoliapick.ports.LogPage;
import org.magnoliapick.ports.LogService;
import org.magnoliapick.router.internal.RouterIdentity;
import org.magnoliapick.router.internal.member.ViewListener;
import org.magnoliapick.router.internal.peer.PeerPart;
import org.magnoliapick.router.internal.peer.Queries;

/**
 * The log as the configuration follower sees it. In a large failure domain only a few relays read
 * the configuration from the log; the others read from the relays, so that the log has a few
 * readers per failure domain however many instances there are. Who is a relay follows from the view
 * alone. A relay that does not answer is passed over; if none does, the log itself is read.
 */
@Singleton
public final class RelayedLog implements LogService, ViewListener {
    /** The number of relays in a failure domain. */
    static final int RELAYS = 3;

    /** The number of instances in a failure domain up to which all read from the log itself. */
    static final int ALL_READ_UP_TO = 8;

    private static final String TOPIC = "config-entries";
    private static final String DUTY = "config-relay";
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(500);
    private static final long POLL_MILLIS = 1_000;

    private final RouterIdentity mSelf;
    private final LogService mLog;
    private final Provider<PeerPart> mPeers;
    private final InstantSource mClock;
    private final RecentEntries mRecent = new RecentEntries();
    private volatile List<InstanceId> mRelays = List.of();
    private volatile boolean mReadsLog = true;

    @Inject
    RelayedLog(
            RouterIdentity self,
            LogService log,
            Provider<PeerPart> peers,
            Queries queries,
            InstantSource clock) {
        mSelf = self;
        mLog = log;
        mPeers = peers;
        mClock = clock;
        queries.add(this::answer);
    }

    @Override
    public void viewChanged(FleetView view) {
        List<InstanceId> live =
                view.routers().stream()
                        .filter(router -> router.domain().equals(mSelf.domain()))
                        .filter(router -> router.state().takesNewWork())
                        .map(RouterMember::id)
                        .toList();
        mRelays = Rendezvous.top(DUTY + '/' + mSelf.domain(), live, RELAYS);
        mReadsLog = live.size() <= ALL_READ_UP_TO || mRelays.contains(mSelf.id());
    }

    @Override
    public AppendResult append(String stream, byte[] payload, Duration timeout) {
        return mLog.append(stream, payload, timeout);
    }

    @Override
    public Optional<LogPage> read(String stream, long fromOffset, int maxEntries, Duration wait) {
        if (!stream.equals(ConfigFollower.STREAM)) {
            return mLog.read(stream, fromOffset, maxEntries, wait);
        }
        if (!mReadsLog) {
            Optional<RelayedPage> page = askRelays(fromOffset, maxEntries);
            if (page.isPresent()) {
                return take(page.get(), wait);
            }
        }
        return readLog(fromOffset, maxEntries, wait);
    }

    private Optional<LogPage> readLog(long fromOffset, int maxEntries, Duration wait) {
        Optional<LogPage> page = mLog.read(ConfigFollower.STREAM, fromOffset, maxEntries, wait);
        page.ifPresent(read -> mRecent.took(fromOffset, read, mClock.millis()));
        return page;
    }

    private Optional<LogPage> take(RelayedPage page, Duration wait) {
        if (page.state() == RelayedPage.State.LOG_OUT) {
            return Optional.empty();
        }
        if (page.entries().isEmpty() && !wait.isZero()) {
            pause();
        }
        return Optional.of(page.toLogPage());
    }

    /** Asks one relay after the other; empty if the log has to be read. */
    private Optional<RelayedPage> askRelays(long fromOffset, int maxEntries) {
        byte[] question =
                ByteBuffer.allocate(Long.BYTES + Integer.BYTES)
                        .putLong(fromOffset)
                        .putInt(maxEntries)
                        .array();
        for (InstanceId relay : mRelays) {
            Optional<RelayedPage> page = ask(relay, question);
            if (page.isPresent() && page.get().state() != RelayedPage.State.TOO_OLD) {
                return page;
            }
        }
        return Optional.empty();
    }

    private Optional<RelayedPage> ask(InstanceId relay, byte[] question) {
        try {
            byte[] answer = mPeers.get().ask(relay, TOPIC, question, ASK_TIMEOUT).get();
            return RelayedPage.decode(answer);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException e) {
            return Optional.empty();
        }
    }

    private Optional<byte[]> answer(String topic, byte[] content) {
        if (!topic.equals(TOPIC) || content.length != Long.BYTES + Integer.BYTES) {
            return Optional.empty();
        }
        ByteBuffer question = ByteBuffer.wrap(content);
        RelayedPage page = mRecent.serve(question.getLong(), question.getInt(), mClock.millis());
        return Optional.of(page.encode());
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
