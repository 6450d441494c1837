package org.magnoliapick.standin;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** A continuous batch: the more requests run, the longer each token takes. */
final class EngineBatch {
    private static final long CANCEL_CHECK_MILLIS = 20;

    private final EngineOptions mOptions;
    private final Semaphore mSlots;
    private final AtomicInteger mRunning = new AtomicInteger();
    private final AtomicInteger mWaiting = new AtomicInteger();

    EngineBatch(EngineOptions options) {
        mOptions = options;
        mSlots = new Semaphore(options.mMaxRunning, true);
    }

    int running() {
        return mRunning.get();
    }

    int waiting() {
        return mWaiting.get();
    }

    /** Waits for a slot; returns false if the attempt was cancelled first. */
    boolean enter(Attempt attempt) throws CutException {
        mWaiting.incrementAndGet();
        try {
            while (!attempt.mCancelled) {
                if (mSlots.tryAcquire(CANCEL_CHECK_MILLIS, TimeUnit.MILLISECONDS)) {
                    mRunning.incrementAndGet();
                    return true;
                }
            }
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CutException("Stopped");
        } finally {
            mWaiting.decrementAndGet();
        }
    }

    void leave() {
        mRunning.decrementAndGet();
        mSlots.release();
    }

    /** Waits for the given tokens of the prompt; returns false if cancelled. */
    boolean prefill(Attempt attempt, long tokens) {
        return await(attempt, tokens * mOptions.mPrefillMicrosPerToken);
    }

    /** Waits for the next token; returns false if cancelled. */
    boolean decode(Attempt attempt) {
        long micros = mOptions.mTokenMicros + mOptions.mTokenMicrosPerRunning * running();
        return await(attempt, micros);
    }

    /** Waits until the attempt's next due time, which does not drift with late wake-ups. */
    private static boolean await(Attempt attempt, long micros) {
        attempt.mDueNanos += TimeUnit.MICROSECONDS.toNanos(micros);
        long leftNanos = attempt.mDueNanos - System.nanoTime();
        while (leftNanos > 0 && !attempt.mCancelled && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(attempt, leftNanos);
            leftNanos = attempt.mDueNanos - System.nanoTime();
        }
        return !attempt.mCancelled && !Thread.currentThread().isInterrupted();
    }

    /** One attempt inside the engine. */
    static final class Attempt {
        private final Thread mThread = Thread.currentThread();
        private volatile boolean mCancelled;
        private long mDueNanos = System.nanoTime();

        /** Starts the attempt's clock over, after its wait for a slot. */
        void restartClock() {
            mDueNanos = System.nanoTime();
        }

        void cancel() {
            mCancelled = true;
            LockSupport.unpark(mThread);
        }
    }
}
