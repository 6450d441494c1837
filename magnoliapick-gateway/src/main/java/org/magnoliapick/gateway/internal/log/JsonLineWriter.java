package org.magnoliapick.gateway.internal.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Writes log lines on a background thread, so that a blocked output blocks no caller. Lines beyond
 * the limit of an interval are dropped and counted.
 */
public final class JsonLineWriter {
    /** The interval between writes, in milliseconds. */
    private static final long FLUSH_INTERVAL_MILLIS = 200;

    /** The maximum of pending characters per interval; limits output to 256,000 a second. */
    private static final int MAX_PENDING_CHARS = 51_200;

    private final PrintStream mOut;
    private final Thread mWriter = new Thread(this::run, "log");
    private final AtomicBoolean mRunning = new AtomicBoolean(true);
    private final Object mLock = new Object();
    private StringBuilder mPending = new StringBuilder();
    private long mDroppedLines;

    /** Creates a writer whose thread is not started. */
    public JsonLineWriter(PrintStream out) {
        mOut = out;
        mWriter.setDaemon(true);
    }

    /** Starts the writer thread. */
    public void start() {
        mWriter.start();
    }

    /** Queues a line, given without its line end; never blocks on the output. */
    public void add(CharSequence line) {
        synchronized (mLock) {
            if (mPending.length() + line.length() > MAX_PENDING_CHARS) {
                mDroppedLines++;
                return;
            }
            mPending.append(line).append('\n');
        }
    }

    /** Writes pending lines and stops; waits at most the timeout. */
    public void stop(long timeoutMillis) throws InterruptedException {
        mRunning.set(false);
        mWriter.interrupt();
        mWriter.join(timeoutMillis);
    }

    private void run() {
        while (mRunning.get()) {
            try {
                Thread.sleep(FLUSH_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                mRunning.set(false);
            }
            writePending();
        }
        writePending();
    }

    private void writePending() {
        String text;
        synchronized (mLock) {
            if (mDroppedLines > 0) {
                mPending.append("{\"kind\":\"log.left-out\",\"lines\":").append(mDroppedLines);
                mPending.append("}\n");
                mDroppedLines = 0;
            }
            if (mPending.length() == 0) {
                return;
            }
            text = mPending.toString();
            mPending = new StringBuilder();
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mOut.write(bytes, 0, bytes.length);
        mOut.flush();
    }
}
