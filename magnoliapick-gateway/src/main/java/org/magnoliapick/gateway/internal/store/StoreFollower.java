package org.magnoliapick.gateway.internal.store;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.StoreAnswer;
import org.magnoliapick.gateway.StoreCall;
import org.magnoliapick.gateway.StoreRecord;
import org.magnoliapick.gateway.StoreTopic;
import org.magnoliapick.gateway.internal.http.HttpCalls;
import org.magnoliapick.gateway.internal.log.EventLog;

/**
 * Follows one topic of the store: first the newest record of each key, then what is added. Goes on
 * for ever; where the store is out it asks again, and after lost history it starts over.
 */
public final class StoreFollower {
    /** How long after a first failure the store is asked again, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    /** The longest time until the store is asked again, in milliseconds. */
    private static final long MOST_RETRY_MILLIS = 500;

    /** How often it is looked whether another instance still tells of the topic. */
    private static final long REST_MILLIS = 200;

    /** How long an answer may take beyond the time that the store may wait, in milliseconds. */
    private static final long ANSWER_MILLIS = 1_000;

    private final EventLoop mLoop;
    private final HttpCalls mCalls;
    private final Dialect mDialect;
    private final TopicHandler mSource;
    private final EventLog mLog;
    private final LongSupplier mClockMillis;
    private final BooleanSupplier mReadsForOthers;
    private final Runnable mReadHere;
    private List<StoreRecord> mPages = new ArrayList<>();
    private long mFirstEndOffset = -1;
    private long mNextOffset;
    private long mSentMillis;
    private boolean mLost;
    private long mRetryMillis = RETRY_MILLIS;
    private ScheduledFuture<?> mRest;

    /** Creates a follower that is not started. */
    public StoreFollower(
            EventLoop loop,
            HttpCalls calls,
            Dialect dialect,
            TopicHandler source,
            EventLog log,
            LongSupplier clockMillis,
            BooleanSupplier readsForOthers,
            Runnable readHere) {
        mLoop = loop;
        mCalls = calls;
        mDialect = dialect;
        mSource = source;
        mLog = log;
        mClockMillis = clockMillis;
        mReadsForOthers = readsForOthers;
        mReadHere = readHere;
    }

    /** Starts following. */
    public void start() {
        readNewest(Optional.empty());
    }

    private void readNewest(Optional<String> afterKey) {
        if (afterKey.isEmpty()) {
            mPages = new ArrayList<>();
            mFirstEndOffset = -1;
        }
        call(mDialect.newest(mSource.topic(), afterKey), 0, answer -> onNewest(answer, afterKey));
    }

    private void onNewest(StoreAnswer answer, Optional<String> afterKey) {
        if (!(answer instanceof StoreAnswer.Page page)) {
            later(() -> readNewest(Optional.empty()));
            return;
        }
        mPages.addAll(page.records());
        if (mFirstEndOffset < 0) {
            mFirstEndOffset = page.endOffset();
        }
        if (page.moreAfterKey().isPresent() && !page.moreAfterKey().equals(afterKey)) {
            readNewest(page.moreAfterKey());
            return;
        }
        // What was added while the pages were read comes again from the first page's end on.
        mNextOffset = mFirstEndOffset;
        mSource.whole(List.copyOf(mPages), mFirstEndOffset);
        mSource.readUpTo(mNextOffset, mSentMillis);
        mPages = new ArrayList<>();
        pause();
    }

    private void pause() {
        mLoop.schedule(this::readOnUnlessTold, mSource.pauseMillis(), TimeUnit.MILLISECONDS);
    }

    /** Rests for as long as another instance tells what it reads. */
    private void readOnUnlessTold() {
        if (!mReadsForOthers.getAsBoolean() && mSource.covered()) {
            mRest = mLoop.schedule(this::readOnUnlessTold, REST_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            mRest = null;
            readOn();
        }
    }

    /** Ends a rest at once, since something new is there to read. */
    public void readNow() {
        if (mRest != null && mRest.cancel(false)) {
            mRest = null;
            readOn();
        }
    }

    /** Notes that another instance told all up to an offset; what was told is not read again. */
    public void told(long upToOffset) {
        mNextOffset = Math.max(mNextOffset, upToOffset);
        if (mLost && mSource.covered()) {
            back();
        }
    }

    private void readOn() {
        long waitMillis = mSource.waitMillis();
        call(mDialect.read(mSource.topic(), mNextOffset, waitMillis), waitMillis, this::onRead);
    }

    private void onRead(StoreAnswer answer) {
        if (answer instanceof StoreAnswer.Page page) {
            // An answer that is older than what was read before tells nothing.
            if (page.endOffset() >= mNextOffset) {
                if (!page.records().isEmpty()) {
                    mSource.added(page.records());
                    long last = page.records().get(page.records().size() - 1).offset();
                    mNextOffset = Math.max(mNextOffset, last + 1);
                }
                if (mSource.readUpTo(mNextOffset, endedMillis())) {
                    mReadHere.run();
                }
            }
            pause();
        } else if (answer instanceof StoreAnswer.Compacted) {
            mLog.line("store.compacted").with("topic", mSource.topic()).log();
            readNewest(Optional.empty());
        } else {
            later(this::readOn);
        }
    }

    /** Returns until when the last answer tells all: as long as the store was asked to wait. */
    private long endedMillis() {
        return Math.min(mClockMillis.getAsLong(), mSentMillis + mSource.waitMillis());
    }

    private void later(Runnable step) {
        mLoop.schedule(step, mRetryMillis, TimeUnit.MILLISECONDS);
        mRetryMillis = Math.min(MOST_RETRY_MILLIS, 2 * mRetryMillis);
    }

    private void call(StoreCall call, long waitMillis, Consumer<StoreAnswer> then) {
        mSentMillis = mClockMillis.getAsLong();
        mCalls.call(
                call.request(),
                waitMillis + ANSWER_MILLIS,
                new HttpCalls.Listener() {
                    @Override
                    public void answered(int status, byte[] body) {
                        StoreAnswer answer = decode(call, status, body);
                        if (answer instanceof StoreAnswer.Failed failure) {
                            lost(failure.reason());
                        } else {
                            back();
                        }
                        then.accept(answer);
                    }

                    @Override
                    public void failed(String reason) {
                        lost(reason);
                        then.accept(new StoreAnswer.Failed(reason));
                    }
                });
    }

    /** Reads an answer; one that cannot be read is a failed call like any other. */
    private static StoreAnswer decode(StoreCall call, int status, byte[] body) {
        try {
            return call.read(status, body);
        } catch (RuntimeException e) {
            return new StoreAnswer.Failed("unreadable answer: " + e);
        }
    }

    private void lost(String reason) {
        if (!mLost) {
            mLost = true;
            mLog.line("store.lost")
                    .with("topic", mSource.topic())
                    .with("reason", reason)
                    .with("nextOffset", mNextOffset)
                    .log();
        }
        mSource.lost();
    }

    private void back() {
        mRetryMillis = RETRY_MILLIS;
        if (mLost) {
            mLost = false;
            mLog.line("store.regained")
                    .with("topic", mSource.topic())
                    .with("nextOffset", mNextOffset)
                    .log();
        }
        mSource.back();
    }

    /** What is followed, and who is told. */
    public interface TopicHandler {
        /** Returns the topic. */
        StoreTopic topic();

        /** Returns how long the store waits for records in a reading call, in milliseconds. */
        long waitMillis();

        /** Returns the pause between calls, in milliseconds. */
        long pauseMillis();

        /** Takes the newest record of each key. */
        void whole(List<StoreRecord> records, long endOffset);

        /** Takes records that were added. */
        void added(List<StoreRecord> records);

        /**
         * The topic was read up to an offset.
         *
         * @param asOfMillis when the topic ended there
         * @return whether something changed that others need to know
         */
        boolean readUpTo(long endOffset, long asOfMillis);

        /** Returns whether another instance tells what it reads of the topic. */
        boolean covered();

        /** A call failed. */
        void lost();

        /** A call was answered. */
        void back();
    }
}
