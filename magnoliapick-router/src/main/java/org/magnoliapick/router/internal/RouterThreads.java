package org.magnoliapick.router.internal;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliapick.router.LimitSettings;

/** The thread pools of the process. */
@Singleton
public final class RouterThreads {
    private static final int CORE_THREADS = 4;
    private static final int MAX_WRITERS = 4_096;
    private static final long IDLE_SECONDS = 30;

    private final ThreadPoolExecutor mAttempts;
    private final ThreadPoolExecutor mWriters;
    private final ScheduledThreadPoolExecutor mTimer;

    @Inject
    RouterThreads(LimitSettings limits) {
        mAttempts = pool("attempt", limits.maxAttempts);
        mWriters = pool("writer", MAX_WRITERS);
        mTimer = new ScheduledThreadPoolExecutor(1, named("timer"));
        mTimer.setRemoveOnCancelPolicy(true);
    }

    /** Returns the threads that run attempts; it refuses work beyond the bound. */
    public ExecutorService attempts() {
        return mAttempts;
    }

    /** Returns the threads that write to callers. */
    public Executor writers() {
        return mWriters;
    }

    /** Runs something later. */
    public ScheduledFuture<?> after(long delayMillis, Runnable work) {
        return mTimer.schedule(work, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Repeats something for as long as the process lives. */
    public void every(long periodMillis, Runnable work) {
        mTimer.scheduleWithFixedDelay(work, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /** Ends all threads; work in progress is interrupted. */
    public void close() {
        mTimer.shutdownNow();
        mAttempts.shutdownNow();
        mWriters.shutdownNow();
    }

    private static ThreadPoolExecutor pool(String name, int maxThreads) {
        return new ThreadPoolExecutor(
                Math.min(CORE_THREADS, maxThreads),
                maxThreads,
                IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                named(name));
    }

    private static ThreadFactory named(String name) {
        AtomicInteger count = new AtomicInteger();
        return work -> {
            Thread thread = new Thread(work, name + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
