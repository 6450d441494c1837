package org.magnoliapick.gateway.internal.store;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.StoreCall;
import org.magnoliapick.gateway.StoreRecord;
import org.magnoliapick.gateway.StoreResponse;
import org.magnoliapick.gateway.StoreTopic;
import org.magnoliapick.gateway.internal.http.BufferingHttpClient;
import org.magnoliapick.gateway.internal.log.EventLog;

/**
 * Follows one topic of the store: reads a snapshot with the newest record of each key, then the
 * records appended after it. Runs for the life of the process, retries while the store is
 * unavailable, and reads a new snapshot if the records at the next offset were compacted, or if the
 * store was restored from an older copy, which begins another epoch of its logs. Does not read
 * while updates from another instance cover the topic.
 */
public final class StoreFollower {
    /**
     * Delay before the first retry of a failed call, in milliseconds; doubles with each failure.
     */
    private static final long RETRY_MILLIS = 250;

    /** Maximum delay before a retry, in milliseconds. */
    private static final long MAX_RETRY_MILLIS = 500;

    /** Interval of the checks whether another instance still covers the topic, in milliseconds. */
    private static final long COVERED_POLL_MILLIS = 200;

    /** Time allowed for a response beyond the time that the store may wait, in milliseconds. */
    private static final long RESPONSE_MILLIS = 1_000;

    private final EventLoop mLoop;
    private final BufferingHttpClient mCalls;
    private final Dialect mDialect;
    private final TopicHandler mHandler;
    private final EventLog mLog;
    private final LongSupplier mClockMillis;
    private final BooleanSupplier mReadsForOthers;
    private final Runnable mOnLocalChange;
    private final EpochListener mEpochs;
    private List<StoreRecord> mSnapshotRecords = new ArrayList<>();
    private long mSnapshotEndOffset = -1;
    private long mNextOffset;
    private long mCallSentMillis;
    private boolean mUnavailable;
    private long mRetryMillis = RETRY_MILLIS;

    /**
     * The number of restarts, after a fault or in a later epoch. Steps and responses of an earlier
     * run are dropped.
     */
    private int mRun;

    /** The next check whether the topic is still covered; null unless reading is suspended. */
    private ScheduledFuture<?> mCoveredPoll;

    /**
     * Creates a follower that is not started.
     *
     * @param readsForOthers returns whether this instance reads the store for other instances
     * @param onLocalChange runs when a call to the store returned a change
     * @param epochs is told the epoch that each response names
     */
    public StoreFollower(
            EventLoop loop,
            BufferingHttpClient calls,
            Dialect dialect,
            TopicHandler handler,
            EventLog log,
            LongSupplier clockMillis,
            BooleanSupplier readsForOthers,
            Runnable onLocalChange,
            EpochListener epochs) {
        mLoop = loop;
        mCalls = calls;
        mDialect = dialect;
        mHandler = handler;
        mLog = log;
        mClockMillis = clockMillis;
        mReadsForOthers = readsForOthers;
        mOnLocalChange = onLocalChange;
        mEpochs = epochs;
    }

    /** Starts reading the snapshot. */
    public void start() {
        runGuarded(() -> readSnapshot(Optional.empty()));
    }

    /**
     * Reads a new snapshot at once, because the store was restored from an older copy: offsets that
     * are known no longer mean anything.
     */
    public void restart() {
        beginRun();
        mRetryMillis = RETRY_MILLIS;
        runGuarded(
                () -> {
                    mHandler.storeRestored();
                    readSnapshot(Optional.empty());
                });
    }

    private void beginRun() {
        mRun++;
        if (mCoveredPoll != null) {
            mCoveredPoll.cancel(false);
            mCoveredPoll = null;
        }
    }

    /**
     * Runs a step of which a fault must not end the reading: it is logged, and a new snapshot is
     * read later, which does not depend on how far the step got.
     */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mLog.line("store.fault")
                    .with("topic", mHandler.topic())
                    .with("nextOffset", mNextOffset)
                    .withFault(e)
                    .log();
            beginRun();
            retryLater(() -> readSnapshot(Optional.empty()));
        }
    }

    private void readSnapshot(Optional<String> afterKey) {
        if (afterKey.isEmpty()) {
            mSnapshotRecords = new ArrayList<>();
            mSnapshotEndOffset = -1;
        }
        call(
                mDialect.newestRecords(mHandler.topic(), afterKey),
                0,
                response -> onSnapshotPage(response, afterKey));
    }

    private void onSnapshotPage(StoreResponse response, Optional<String> afterKey) {
        if (!(response instanceof StoreResponse.Page page)) {
            retryLater(() -> readSnapshot(Optional.empty()));
            return;
        }
        mSnapshotRecords.addAll(page.records());
        if (mSnapshotEndOffset < 0) {
            mSnapshotEndOffset = page.endOffset();
        }
        if (page.nextPageAfterKey().isPresent() && !page.nextPageAfterKey().equals(afterKey)) {
            readSnapshot(page.nextPageAfterKey());
            return;
        }
        // Records appended while the pages were read are read again from the first page's end
        // offset.
        mNextOffset = mSnapshotEndOffset;
        mHandler.applySnapshot(List.copyOf(mSnapshotRecords), mSnapshotEndOffset);
        mHandler.advanceTo(mNextOffset, mCallSentMillis);
        mSnapshotRecords = new ArrayList<>();
        scheduleRead();
    }

    private void scheduleRead() {
        schedule(this::readUnlessCovered, mHandler.pauseMillis());
    }

    private ScheduledFuture<?> schedule(Runnable step, long delayMillis) {
        int run = mRun;
        return mLoop.schedule(
                () -> {
                    if (run == mRun) {
                        runGuarded(step);
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Reads the next records, or checks again later while another instance covers the topic. */
    private void readUnlessCovered() {
        if (!mReadsForOthers.getAsBoolean() && mHandler.isCovered()) {
            mCoveredPoll = schedule(this::readUnlessCovered, COVERED_POLL_MILLIS);
        } else {
            mCoveredPoll = null;
            readNext();
        }
    }

    /** Reads at once, if reading is suspended, because new records are known to exist. */
    public void readNow() {
        if (mCoveredPoll != null && mCoveredPoll.cancel(false)) {
            mCoveredPoll = null;
            runGuarded(this::readNext);
        }
    }

    /** Skips records up to an offset (exclusive) that were received from another instance. */
    public void skipTo(long offset) {
        mNextOffset = Math.max(mNextOffset, offset);
        if (mUnavailable && mHandler.isCovered()) {
            markAvailable();
        }
    }

    private void readNext() {
        long waitMillis = mHandler.waitMillis();
        call(
                mDialect.recordsFrom(mHandler.topic(), mNextOffset, waitMillis),
                waitMillis,
                this::onRead);
    }

    private void onRead(StoreResponse response) {
        if (response instanceof StoreResponse.Page page) {
            // A page that ends before the next offset is stale and is ignored.
            if (page.endOffset() >= mNextOffset) {
                if (!page.records().isEmpty()) {
                    mHandler.applyRecords(page.records());
                    long last = page.records().get(page.records().size() - 1).offset();
                    mNextOffset = Math.max(mNextOffset, last + 1);
                }
                if (mHandler.advanceTo(mNextOffset, asOfMillis())) {
                    mOnLocalChange.run();
                }
            }
            scheduleRead();
        } else if (response instanceof StoreResponse.Compacted) {
            mLog.line("store.compacted").with("topic", mHandler.topic()).log();
            readSnapshot(Optional.empty());
        } else {
            retryLater(this::readNext);
        }
    }

    /**
     * Returns the time up to which the last response holds all records: when it arrived, but no
     * later than the end of the requested wait, because the store need not have looked for new
     * records after that.
     */
    private long asOfMillis() {
        return Math.min(mClockMillis.getAsLong(), mCallSentMillis + mHandler.waitMillis());
    }

    private void retryLater(Runnable step) {
        schedule(step, mRetryMillis);
        mRetryMillis = Math.min(MAX_RETRY_MILLIS, 2 * mRetryMillis);
    }

    private void call(StoreCall call, long waitMillis, Consumer<StoreResponse> onResponse) {
        mCallSentMillis = mClockMillis.getAsLong();
        int run = mRun;
        mCalls.send(
                call.request(),
                waitMillis + RESPONSE_MILLIS,
                new BufferingHttpClient.Listener() {
                    @Override
                    public void answered(HttpResponse head, byte[] body) {
                        if (run == mRun) {
                            runGuarded(() -> answer(call, head, body, onResponse));
                        }
                    }

                    @Override
                    public void failed(String reason) {
                        if (run == mRun) {
                            runGuarded(() -> handle(new StoreResponse.Failed(reason), onResponse));
                        }
                    }
                });
    }

    private void answer(
            StoreCall call, HttpResponse head, byte[] body, Consumer<StoreResponse> onResponse) {
        if (!isOfOtherEpoch(head, onResponse)) {
            handle(decode(call, head.status().code(), body), onResponse);
        }
    }

    private void handle(StoreResponse response, Consumer<StoreResponse> onResponse) {
        if (response instanceof StoreResponse.Failed failure) {
            markUnavailable(failure.reason());
        } else {
            markAvailable();
        }
        onResponse.accept(response);
    }

    /**
     * Checks the epoch that a response names. If it is a later one, this follower is restarted by
     * the listener; a response of a former epoch counts as a failed call.
     */
    private boolean isOfOtherEpoch(HttpResponse head, Consumer<StoreResponse> onResponse) {
        OptionalLong epoch = mDialect.readStoreEpoch(head);
        if (epoch.isEmpty()) {
            return false;
        }
        int run = mRun;
        if (!mEpochs.epochNamed(epoch.getAsLong(), mHandler.topic(), mNextOffset)) {
            handle(
                    new StoreResponse.Failed("response of a former epoch " + epoch.getAsLong()),
                    onResponse);
            return true;
        }
        return run != mRun;
    }

    /** Decodes a response; an unreadable one counts as a failed call. */
    private static StoreResponse decode(StoreCall call, int status, byte[] body) {
        try {
            return call.parse(status, body);
        } catch (RuntimeException e) {
            return new StoreResponse.Failed("unreadable response: " + e);
        }
    }

    private void markUnavailable(String reason) {
        if (!mUnavailable) {
            mUnavailable = true;
            mLog.line("store.lost")
                    .with("topic", mHandler.topic())
                    .with("reason", reason)
                    .with("nextOffset", mNextOffset)
                    .log();
        }
        mHandler.storeUnavailable();
    }

    private void markAvailable() {
        mRetryMillis = RETRY_MILLIS;
        if (mUnavailable) {
            mUnavailable = false;
            mLog.line("store.regained")
                    .with("topic", mHandler.topic())
                    .with("nextOffset", mNextOffset)
                    .log();
        }
        mHandler.storeAvailable();
    }

    /** Handles the records of a topic and sets how it is read. */
    public interface TopicHandler {
        /** Returns the topic to follow. */
        StoreTopic topic();

        /**
         * Returns how long the store may hold a read call open for new records, in milliseconds.
         */
        long waitMillis();

        /** Returns the pause between read calls, in milliseconds. */
        long pauseMillis();

        /**
         * Applies a snapshot of the topic.
         *
         * @param records the newest record of each key
         * @param endOffset where the topic ended when the snapshot's first page was read
         */
        void applySnapshot(List<StoreRecord> records, long endOffset);

        /** Applies records that were appended, in offset order. */
        void applyRecords(List<StoreRecord> records);

        /**
         * Records that the topic was read up to an offset.
         *
         * @param endOffset the offset (exclusive)
         * @param asOfMillis when the topic ended at this offset
         * @return whether a change was read that has to be sent to other instances
         */
        boolean advanceTo(long endOffset, long asOfMillis);

        /** Returns whether updates from another instance are recent enough to suspend reading. */
        boolean isCovered();

        /** Called when the store was restored from an older copy; a new snapshot follows. */
        void storeRestored();

        /** Called when a call to the store failed. */
        void storeUnavailable();

        /**
         * Called when a call to the store succeeded, or another instance covers the topic again.
         */
        void storeAvailable();
    }
}
