package org.magnoliapick.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.magnoliapick.config.ApplyResult;
import org.magnoliapick.config.ConfigEntry;
import org.magnoliapick.config.ConfigState;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.RejectedEntry;
import org.magnoliapick.ports.AppendResult;
import org.magnoliapick.ports.LogEntry;
import org.magnoliapick.ports.LogPage;
import org.magnoliapick.ports.LogService;

/**
 * Follows the configuration stream of the log. One thread calls {@link #step} over and over; any
 * thread may read. The state never moves to a lower offset.
 */
public final class ConfigFollower {
    /** The stream of the log that holds the changes. */
    public static final String STREAM = "config";

    private static final Logger LOG = System.getLogger(ConfigFollower.class.getName());

    private final LogService mLog;
    private final SnapshotSource mPeers;
    private final InstantSource mClock;
    private final FollowerOptions mOptions;
    private final SnapshotStream mSnapshots;
    private final List<ConfigListener> mListeners = new CopyOnWriteArrayList<>();
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mAdvanced = mLock.newCondition();

    private ConfigState mState = new ConfigState();
    private long mGapSinceMillis = -1;
    private volatile FleetConfig mConfig = FleetConfig.EMPTY;
    private volatile boolean mIsReady;
    private volatile StepResult mLastStep = StepResult.LOG_UNAVAILABLE;

    /** Creates a follower that has read nothing. */
    public ConfigFollower(
            LogService log, SnapshotSource peers, InstantSource clock, FollowerOptions options) {
        mLog = log;
        mPeers = peers;
        mClock = clock;
        mOptions = options;
        mSnapshots = new SnapshotStream(log, options);
    }

    /** What one step found. */
    public enum StepResult {
        /** Entries or a newer state came. */
        ADVANCED,
        /** The state is the newest one. */
        CURRENT,
        /** The log did not answer. */
        LOG_UNAVAILABLE,
        /** Entries after the state are no longer kept, and nobody reachable knows them. */
        GAP
    }

    /** Adds a listener; it hears of the present configuration at once if there is one. */
    public void addListener(ConfigListener listener) {
        mListeners.add(listener);
        if (mIsReady) {
            listener.configChanged(mConfig);
        }
    }

    /** Returns whether there is a configuration to serve under. */
    public boolean isReady() {
        return mIsReady;
    }

    /** Returns the configuration in force here. */
    public FleetConfig config() {
        return mConfig;
    }

    /** Returns what the last step found. */
    public StepResult lastStep() {
        return mLastStep;
    }

    /** Reads from the state. The function must not keep or change it. */
    public <T> T read(Function<ConfigState, T> function) {
        mLock.lock();
        try {
            return function.apply(mState);
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Waits until an entry was folded.
     *
     * @return what became of the entry, or empty after the timeout
     */
    public Optional<ApplyResult> awaitOutcome(String entryId, Duration timeout)
            throws InterruptedException {
        long leftNanos = timeout.toNanos();
        mLock.lock();
        try {
            Optional<ApplyResult> outcome = mState.outcomeOf(entryId);
            while (outcome.isEmpty() && leftNanos > 0) {
                leftNanos = mAdvanced.awaitNanos(leftNanos);
                outcome = mState.outcomeOf(entryId);
            }
            return outcome;
        } finally {
            mLock.unlock();
        }
    }

    /** Waits until the configuration at an offset is in force here, or the timeout is over. */
    public boolean awaitOffset(long offset, Duration timeout) throws InterruptedException {
        long leftNanos = timeout.toNanos();
        mLock.lock();
        try {
            while (mState.offset() < offset && leftNanos > 0) {
                leftNanos = mAdvanced.awaitNanos(leftNanos);
            }
            return mState.offset() >= offset;
        } finally {
            mLock.unlock();
        }
    }

    /** Reads once from the log, folds what came and tells the listeners. */
    public StepResult step() {
        if (!mIsReady) {
            adoptNewest(mPeers.fetch());
            mSnapshots.readNewest().ifPresent(bytes -> adoptNewest(List.of(bytes)));
        }
        Duration wait = mIsReady ? mOptions.pollWait() : Duration.ZERO;
        Optional<LogPage> page = mLog.read(STREAM, nextOffset(), mOptions.pageEntries(), wait);
        mLastStep = page.map(this::takePage).orElse(StepResult.LOG_UNAVAILABLE);
        if (mLastStep == StepResult.LOG_UNAVAILABLE || mLastStep == StepResult.GAP) {
            publishIfKnown();
        }
        return mLastStep;
    }

    private StepResult takePage(LogPage page) {
        if (page.firstKeptOffset() > nextOffset()) {
            return closeGap(page);
        }
        mGapSinceMillis = -1;
        int folded = fold(page.entries());
        boolean isAtEnd = nextOffset() >= page.endOffset();
        if (isAtEnd || mIsReady) {
            publish();
        }
        if (isAtEnd) {
            appendSnapshotIfDue();
        }
        return folded > 0 ? StepResult.ADVANCED : StepResult.CURRENT;
    }

    private long nextOffset() {
        return mState.offset() + 1;
    }

    private int fold(List<LogEntry> entries) {
        int folded = 0;
        mLock.lock();
        try {
            for (LogEntry entry : entries) {
                folded += fold(entry) ? 1 : 0;
            }
            mAdvanced.signalAll();
        } finally {
            mLock.unlock();
        }
        return folded;
    }

    private boolean fold(LogEntry entry) {
        if (entry.offset() > nextOffset()) {
            return false;
        }
        ApplyResult result =
                mState.apply(entry.offset(), entry.appendedAtMillis(), entry.payload());
        Optional<RejectedEntry> rejection = result.rejection();
        if (rejection.isPresent()) {
            String reason = rejection.get().fault().reason();
            LOG.log(Level.WARNING, "[config] Rejected entry {0}: {1}.", entry.offset(), reason);
        } else if (result instanceof ApplyResult.Accepted) {
            LOG.log(Level.INFO, "[config] Applied entry {0}.", entry.offset());
        }
        return !(result instanceof ApplyResult.Ignored);
    }

    /** Takes the state of others where entries of the log were missed. */
    private StepResult closeGap(LogPage page) {
        List<byte[]> candidates = new ArrayList<>(mPeers.fetch());
        mSnapshots.readNewest().ifPresent(candidates::add);
        if (adoptNewest(candidates)) {
            mGapSinceMillis = -1;
            publishIfKnown();
            return StepResult.ADVANCED;
        }
        long nowMillis = mClock.millis();
        if (mGapSinceMillis < 0) {
            mGapSinceMillis = nowMillis;
            LOG.log(
                    Level.WARNING,
                    "[config] Entries {0} to {1} are no longer kept.",
                    nextOffset(),
                    page.firstKeptOffset() - 1);
        }
        if (nowMillis - mGapSinceMillis >= mOptions.gapGrace().toMillis()) {
            continueAfterGap(page);
        }
        return StepResult.GAP;
    }

    /**
     * Goes on after missed entries. A replacement in the log ends the gap for everybody; without
     * one, the instance with state appends it.
     */
    private void continueAfterGap(LogPage page) {
        Optional<LogPage> rest = Optional.of(page);
        while (rest.isPresent() && !rest.get().entries().isEmpty()) {
            List<LogEntry> entries = rest.get().entries();
            Optional<LogEntry> replacement =
                    entries.stream()
                            .filter(entry -> ConfigEntry.isReplacement(entry.payload()))
                            .findFirst();
            if (replacement.isPresent()) {
                foldReplacement(replacement.get());
                return;
            }
            long next = entries.get(entries.size() - 1).offset() + 1;
            rest = mLog.read(STREAM, next, mOptions.pageEntries(), Duration.ZERO);
        }
        if (rest.isPresent() && mState.offset() >= 0) {
            republish(rest.get().endOffset());
        }
    }

    private void foldReplacement(LogEntry entry) {
        mLock.lock();
        try {
            mState.apply(entry.offset(), entry.appendedAtMillis(), entry.payload());
            mAdvanced.signalAll();
        } finally {
            mLock.unlock();
        }
        mGapSinceMillis = -1;
        LOG.log(Level.WARNING, "[config] Went on from the replacement {0}.", entry.offset());
        publish();
    }

    private void republish(long endOffset) {
        Map<String, JsonNode> values = new TreeMap<>();
        mState.subtree("").forEach((path, setting) -> values.put(path, setting.value()));
        ConfigEntry entry =
                new ConfigEntry(
                        "replace-" + mOptions.instance() + "-" + endOffset,
                        mOptions.instance(),
                        "Entries after " + mState.offset() + " are no longer kept",
                        Map.of(),
                        values,
                        List.of(),
                        endOffset);
        AppendResult result = mLog.append(STREAM, entry.encode(), mOptions.appendTimeout());
        LOG.log(Level.WARNING, "[config] Set the configuration anew: {0}.", result);
    }

    /** Adopts the newest of some snapshots, if it is newer than the own state. */
    private boolean adoptNewest(List<byte[]> snapshots) {
        Optional<ConfigState> newest = Optional.empty();
        for (byte[] bytes : snapshots) {
            Optional<ConfigState> candidate = ConfigState.ofSnapshot(bytes);
            if (candidate.isPresent()
                    && candidate.get().offset() > newest.map(ConfigState::offset).orElse(-1L)) {
                newest = candidate;
            }
        }
        if (newest.isEmpty() || newest.get().offset() <= mState.offset()) {
            return false;
        }
        mLock.lock();
        try {
            mState = newest.get();
            mAdvanced.signalAll();
        } finally {
            mLock.unlock();
        }
        LOG.log(Level.INFO, "[config] Took the state at offset {0}.", mState.offset());
        return true;
    }

    private void publishIfKnown() {
        if (mState.offset() >= 0) {
            publish();
        }
    }

    private void publish() {
        boolean isNew = !mIsReady || mConfig.offset() < mState.offset();
        if (!isNew) {
            return;
        }
        mConfig = read(ConfigState::view);
        mIsReady = true;
        FleetConfig config = mConfig;
        mListeners.forEach(listener -> listener.configChanged(config));
    }

    private void appendSnapshotIfDue() {
        if (mState.offset() >= 0) {
            mSnapshots.appendIfDue(mState, mClock.millis());
        }
    }
}
