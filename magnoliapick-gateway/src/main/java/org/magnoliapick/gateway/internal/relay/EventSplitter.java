package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Splits a byte stream of server-sent events into complete events. */
final class EventSplitter {
    /** Maximum number of bytes buffered of an incomplete event. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte LINE_END = '\n';
    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private ByteBuf mBuffer = Unpooled.buffer(256);

    /**
     * Appends bytes and returns the events that they complete; the receiver releases each event.
     */
    List<Event> feed(ByteBuf bytes) {
        mBuffer.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        List<Event> events = new ArrayList<>(2);
        int start = mBuffer.readerIndex();
        if (isEventTooLong()) {
            return events;
        }
        int end = findEventEnd(start);
        while (end > 0) {
            ByteBuf event = mBuffer.copy(start, end - start);
            events.add(new Event(parseId(event), event));
            start = end;
            end = findEventEnd(start);
        }
        mBuffer.readerIndex(start);
        mBuffer.discardReadBytes();
        return events;
    }

    /** Returns whether the buffered data exceeds {@link #MAX_EVENT_BYTES}. */
    boolean isEventTooLong() {
        return mBuffer.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Returns whether part of an event is buffered. */
    boolean hasPartialEvent() {
        return mBuffer.isReadable();
    }

    /** Returns the end index (exclusive) of the event starting at an index, or -1 if incomplete. */
    private int findEventEnd(int start) {
        int lineStart = start;
        for (int i = start; i < mBuffer.writerIndex(); i++) {
            if (mBuffer.getByte(i) != LINE_END) {
                continue;
            }
            boolean blank =
                    i == lineStart || (i == lineStart + 1 && mBuffer.getByte(i - 1) == '\r');
            if (blank && i > start) {
                return i + 1;
            }
            lineStart = i + 1;
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
