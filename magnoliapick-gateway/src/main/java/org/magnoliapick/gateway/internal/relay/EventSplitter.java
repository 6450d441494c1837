package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.magnoliapick.gateway.internal.http.BufferBudget;

/** Splits a byte stream of server-sent events into complete events. */
final class EventSplitter {
    /** Maximum number of bytes buffered of an incomplete event. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte LINE_END = '\n';
    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private final BufferBudget.Buffer mBuffer;
    private boolean mTooLong;

    /** Up to where the buffered part of an event was searched for its end. */
    private int mScanned;

    /** The start of the line that the search has reached. */
    private int mLineStart;

    EventSplitter(BufferBudget budget) {
        mBuffer = budget.newBuffer();
    }

    /**
     * Appends bytes and returns the events that they complete; the receiver releases each event.
     */
    List<Event> feed(ByteBuf bytes) {
        List<Event> events = new ArrayList<>(2);
        mTooLong |=
                mBuffer.readableBytes() + bytes.readableBytes() > MAX_EVENT_BYTES
                        || !mBuffer.append(bytes);
        if (mTooLong) {
            return events;
        }
        int start = mBuffer.readerIndex();
        int end = findEventEnd(start);
        while (end > 0) {
            ByteBuf event = mBuffer.copy(start, end - start);
            events.add(new Event(parseId(event), event));
            start = end;
            end = findEventEnd(start);
        }
        mBuffer.readerIndex(start);
        mBuffer.discardReadBytes();
        mScanned -= start;
        mLineStart -= start;
        return events;
    }

    /** Returns whether an event exceeds {@link #MAX_EVENT_BYTES} or the budget. */
    boolean isEventTooLong() {
        return mTooLong;
    }

    /** Releases the buffer; nothing may be appended any more. */
    void release() {
        mBuffer.release();
    }

    /** Returns whether part of an event is buffered. */
    boolean hasPartialEvent() {
        return mBuffer.isReadable();
    }

    /**
     * Returns the end index (exclusive) of the event starting at an index, or -1 if incomplete. The
     * next search goes on where this one ended.
     */
    private int findEventEnd(int start) {
        while (mScanned < mBuffer.writerIndex()) {
            int i = mScanned++;
            if (mBuffer.getByte(i) != LINE_END) {
                continue;
            }
            boolean blank =
                    i == mLineStart || (i == mLineStart + 1 && mBuffer.getByte(i - 1) == '\r');
            mLineStart = i + 1;
            if (blank && i > start) {
                return i + 1;
            }
        }
        return -1;
    }

    /**
     * Returns the value of the first id field, empty if there is none or it is not a number. Scans
     * bytes instead of using a regular expression because it runs for each event of each stream.
     */
    private static OptionalLong parseId(ByteBuf event) {
        int lineStart = event.readerIndex();
        while (lineStart < event.writerIndex()) {
            int lineEnd = event.indexOf(lineStart, event.writerIndex(), LINE_END);
            int end = lineEnd < 0 ? event.writerIndex() : lineEnd;
            if (isIdField(event, lineStart, end)) {
                return parseNumber(event, lineStart + ID_FIELD.length, end);
            }
            lineStart = end + 1;
        }
        return OptionalLong.empty();
    }

    private static boolean isIdField(ByteBuf event, int start, int end) {
        return end - start >= ID_FIELD.length
                && event.getByte(start) == ID_FIELD[0]
                && event.getByte(start + 1) == ID_FIELD[1]
                && event.getByte(start + 2) == ID_FIELD[2];
    }

    private static OptionalLong parseNumber(ByteBuf event, int start, int end) {
        String text = event.toString(start, end - start, StandardCharsets.US_ASCII).trim();
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * A complete event.
     *
     * @param id the numeric id, if the event has one
     * @param bytes the event including the terminating blank line
     */
    record Event(OptionalLong id, ByteBuf bytes) {}
}
