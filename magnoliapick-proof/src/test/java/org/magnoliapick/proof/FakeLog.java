package org.magnoliapick.proof;

import java.util.ArrayList;
import java.util.List;

/** One stream of a log that can fail in the ways that the platform's log fails. */
final class FakeLog {
    /** How the log behaves. */
    enum Mode {
        /** As it should. */
        UP,
        /** Refuses appends and reads. */
        OUT,
        /** Holds appends back without an answer until it is up again. */
        SLOW,
        /** Takes appends without an answer. */
        ANSWER_LOST
    }

    /** What an appender is told. */
    enum Answer {
        /** The entry is in the log. */
        APPENDED,
        /** The entry is not in the log. */
        REFUSED,
        /** No answer. */
        UNKNOWN
    }

    record Entry(long offset, long atMillis, byte[] payload) {}

    private final List<Entry> mEntries = new ArrayList<>();
    private final List<byte[]> mHeld = new ArrayList<>();
    private Mode mMode = Mode.UP;
    private int mFirstKept;

    void setMode(Mode mode, long nowMillis) {
        mMode = mode;
        if (mode == Mode.UP) {
            mHeld.forEach(payload -> store(payload, nowMillis));
            mHeld.clear();
        }
    }

    Answer append(byte[] payload, long nowMillis) {
        if (mMode == Mode.OUT) {
            return Answer.REFUSED;
        }
        if (mMode == Mode.SLOW) {
            mHeld.add(payload);
            return Answer.UNKNOWN;
        }
        store(payload, nowMillis);
        return mMode == Mode.UP ? Answer.APPENDED : Answer.UNKNOWN;
    }

    private void store(byte[] payload, long nowMillis) {
        mEntries.add(new Entry(mEntries.size(), nowMillis, payload));
    }

    List<Entry> read(long fromOffset) {
        if (mMode == Mode.OUT) {
            return List.of();
        }
        int from = (int) Math.max(fromOffset, mFirstKept);
        return List.copyOf(mEntries.subList(Math.min(from, mEntries.size()), mEntries.size()));
    }

    boolean isReadable() {
        return mMode != Mode.OUT;
    }

    long firstKept() {
        return mFirstKept;
    }

    long end() {
        return mEntries.size();
    }

    /** Forgets all entries but the newest ones. */
    void retain(int newest) {
        mFirstKept = Math.max(mFirstKept, mEntries.size() - newest);
    }
}
