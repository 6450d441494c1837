package org.magnoliapick.ports.internal;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Cancels calls at their deadline; one thread serves all of them. */
final class DeadlineTimer implements AutoCloseable {
    private final ScheduledThreadPoolExecutor mExecutor;

    DeadlineTimer() {
        mExecutor = new ScheduledThreadPoolExecutor(1, DeadlineTimer::newThread);
        mExecutor.setRemoveOnCancelPolicy(true);
    }

    private static Thread newThread(Runnable body) {
        Thread thread = new Thread(body, "platform-deadlines");
        thread.setDaemon(true);
        return thread;
    }

    /** Runs the action after the given time unless the alarm is stopped before. */
    Alarm start(long afterMillis, Runnable action) {
        return new Alarm(afterMillis, action);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    /** One pending deadline. */
    final class Alarm {
        private final Runnable mAction;
        private ScheduledFuture<?> mPending;
        private volatile boolean mRang;

        private Alarm(long afterMillis, Runnable action) {
            mAction = action;
            mPending = mExecutor.schedule(this::ring, afterMillis, TimeUnit.MILLISECONDS);
        }

        private void ring() {
            mRang = true;
            mAction.run();
        }

        boolean rang() {
            return mRang;
        }

        void moveTo(long afterMillis) {
            mPending.cancel(false);
            mPending = mExecutor.schedule(this::ring, afterMillis, TimeUnit.MILLISECONDS);
        }

        void stop() {
            mPending.cancel(false);
        }
    }
}
