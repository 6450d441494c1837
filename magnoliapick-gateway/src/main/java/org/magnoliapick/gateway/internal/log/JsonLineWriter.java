package org.magnoliapick.gateway.internal.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Writes lines from a thread of its own, so that a blocked output holds up nobody. What does not
 * fit the bounds in a period is left out and counted.
 */
public final class JsonLineWriter {
    /** How often lines are written, in milliseconds. */
    private static final long PERIOD_MILLIS = 200;

    /** The most bytes written in a period: 256 KiB a second. */
    private static final int MAX_PERIOD_BYTES = 51_200;

    private final PrintStream mOut;
    private final Thread mWriter = new Thread(this::run, "log");
    private final AtomicBoolean mRunning = new AtomicBoolean(true);
    private final Object mLock = new Object();
    private StringBuilder mPending = new StringBuilder();
    private long mLeftOut;

    /** Creates a writer that is not started. */
    public JsonLineWriter(PrintStream out) {
        mOut = out;
        mWriter.setDaemon(true);
    }

    /** Starts writing. */
    public void start() {
        mWriter.start();
    }

    /** Takes a line without its line end; never blocks on the output. */
    public void add(CharSequence line) {
        synchronized (mLock) {
            if (mPending.length() + line.length() > MAX_PERIOD_BYTES) {
                mLeftOut++;
                return;
            }
            mPending.append(line).append('\n');
        }
    }

    /** Writes what is pending and stops; waits a moment at most. */
    public void stop(long waitMillis) throws InterruptedException {
        mRunning.set(false);
        mWriter.interrupt();
        mWriter.join(waitMillis);
    }

    private void run() {
        while (mRunning.get()) {
            try {
                Thread.sleep(PERIOD_MILLIS);
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
            if (mLeftOut > 0) {
                mPending.append("{\"kind\":\"log.left-out\",\"lines\":").append(mLeftOut);
                mPending.append("}\n");
                mLeftOut = 0;
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
