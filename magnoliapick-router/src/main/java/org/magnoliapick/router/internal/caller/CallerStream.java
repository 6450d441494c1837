package org.magnoliapick.router.internal.caller;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.glassfish.jersey.server.ChunkedOutput;

/**
 * The streamed body of one answer. Parts wait in memory up to a bound; at most one writer thread at
 * a time sends them. A caller that goes away, or lets more than the bound wait, ends the stream.
 */
final class CallerStream {
    private static final Logger LOG = System.getLogger(CallerStream.class.getName());

    private final ChunkedOutput<byte[]> mOutput = new ChunkedOutput<>(byte[].class);
    private final Executor mWriters;
    private final long mMaxUnsentBytes;
    private final Runnable mOnCallerGone;
    private final Deque<byte[]> mUnsent = new ArrayDeque<>();
    private Optional<Runnable> mOpener = Optional.empty();
    private long mUnsentBytes;
    private boolean mWriting;
    private boolean mEnded;
    private boolean mBroken;

    CallerStream(Executor writers, long maxUnsentBytes, Runnable onCallerGone) {
        mWriters = writers;
        mMaxUnsentBytes = maxUnsentBytes;
        mOnCallerGone = onCallerGone;
    }

    ChunkedOutput<byte[]> entity() {
        return mOutput;
    }

    /** Sends the head before the first part. */
    synchronized void open(Runnable opener) {
        mOpener = Optional.of(opener);
        wakeWriter();
    }

    synchronized void write(byte[] part) {
        if (mEnded || mBroken) {
            return;
        }
        mUnsent.add(part);
        mUnsentBytes += part.length;
        if (mUnsentBytes > mMaxUnsentBytes) {
            LOG.log(Level.INFO, "[caller] Gave up a stream whose caller reads too slowly.");
            breakOff();
            return;
        }
        wakeWriter();
    }

    synchronized void end(byte[] lastPart) {
        if (mEnded || mBroken) {
            return;
        }
        mUnsent.add(lastPart);
        mEnded = true;
        wakeWriter();
    }

    private void wakeWriter() {
        if (!mWriting) {
            mWriting = true;
            mWriters.execute(this::writeAll);
        }
    }

    private void writeAll() {
        try {
            takeOpener().ifPresent(Runnable::run);
            for (Optional<byte[]> part = next(); part.isPresent(); part = next()) {
                mOutput.write(part.get());
            }
            closeIfDone();
        } catch (IOException e) {
            synchronized (this) {
                breakOff();
            }
            closeOutput();
        }
    }

    private synchronized Optional<Runnable> takeOpener() {
        Optional<Runnable> opener = mOpener;
        mOpener = Optional.empty();
        return opener;
    }

    private synchronized Optional<byte[]> next() {
        byte[] part = mUnsent.poll();
        if (part == null) {
            mWriting = false;
            return Optional.empty();
        }
        mUnsentBytes -= part.length;
        return Optional.of(part);
    }

    private void closeIfDone() {
        boolean done;
        synchronized (this) {
            done = mEnded && mUnsent.isEmpty() && !mWriting;
        }
        if (done) {
            closeOutput();
        }
    }

    private void breakOff() {
        mBroken = true;
        mUnsent.clear();
        mWriters.execute(mOnCallerGone);
        mWriters.execute(this::closeOutput);
    }

    private void closeOutput() {
        try {
            mOutput.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "[caller] A caller went away before the end of its stream.");
        }
    }
}
