package org.magnoliapick.admin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.admin.internal.OperatorAuth;
import org.magnoliapick.config.KeyHash;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.record.DecisionRecord;
import org.magnoliapick.record.SummaryBuilder;

/** The parts of the administration API over a log in memory, with one instance that is silent. */
public final class AdminFixture {
    /** The key that may do everything as long as nobody may administer. */
    public static final String BOOTSTRAP_KEY = "bootstrap-key";

    /** The time at the start. */
    public static final long NOW_MILLIS = 1_000_000_000L;

    private static final InstanceId SELF = new InstanceId("router-1");
    private static final InstanceId SILENT = new InstanceId("router-9");
    private static final String DOMAIN = "ruwi";
    private static final int MAX_DECISIONS = 100;

    private final FakeLogService mLog = new FakeLogService();
    private long mNowMillis = NOW_MILLIS;
    private final InstantSource mClock = () -> Instant.ofEpochMilli(mNowMillis);
    private final ConfigFollower mFollower =
            new ConfigFollower(
                    mLog,
                    SnapshotSource.NONE,
                    mClock,
                    FollowerOptions.of(SELF.value(), Duration.ofHours(1)));
    private final DecisionKeeper mDecisions =
            new DecisionKeeper(SELF, mFollower::config, mClock, MAX_DECISIONS);
    private final QueryHandler mQueries = new AdminQueries(mFollower, mDecisions);
    private boolean mIsSelfSilent;

    /** Creates the parts; each append is followed at once. */
    public AdminFixture() {
        mLog.setNowMillis(NOW_MILLIS);
        mLog.afterAppend(mFollower::step);
    }

    /** Returns what has to be registered with a server. */
    public List<Object> components() {
        AdminServices services =
                new AdminServices(
                        mLog,
                        mFollower,
                        this::ask,
                        mDecisions,
                        new SummaryReader(mLog, () -> Set.of(DOMAIN)),
                        mClock,
                        Optional.of(KeyHash.of(BOOTSTRAP_KEY)));
        List<Object> components = new ArrayList<>(OperatorAuth.providers(services));
        components.addAll(AdminApi.resources(services));
        return components;
    }

    /** Returns the log. */
    public FakeLogService log() {
        return mLog;
    }

    /** Returns the follower. */
    public ConfigFollower follower() {
        return mFollower;
    }

    /** Appends an entry as an operator may do without the API. */
    public void append(String entry) {
        byte[] payload = entry.getBytes(StandardCharsets.UTF_8);
        mLog.append(ConfigFollower.STREAM, payload, Duration.ZERO);
    }

    /** Hands a decision in. */
    public void decide(DecisionRecord decision) {
        mDecisions.accept(decision);
    }

    /** Ends the present window and writes it to the log. */
    public void writeSummaries() {
        mNowMillis += SummaryBuilder.WINDOW_MILLIS;
        new SummaryWriter(mLog, DOMAIN, mDecisions, Duration.ZERO).step();
    }

    /** Makes this instance silent, as if it were lost. */
    public void forgetDecisions() {
        mIsSelfSilent = true;
    }

    private List<FleetAnswer> ask(String topic, byte[] content, Duration timeout) {
        Optional<byte[]> own = mIsSelfSilent ? Optional.empty() : mQueries.answer(topic, content);
        return List.of(new FleetAnswer(SELF, own), new FleetAnswer(SILENT, Optional.empty()));
    }
}
