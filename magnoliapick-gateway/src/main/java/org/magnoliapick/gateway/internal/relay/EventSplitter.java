package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Cuts a stream of server-sent events into whole events. */
final class EventSplitter {
    /** The most bytes of an event that are kept until its end comes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte LINE_END = '\n';
    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private ByteBuf mRest = Unpooled.buffer(256);

    /** Takes bytes and returns the events that are whole now; each is to be released. */
    List<Event> feed(ByteBuf bytes) {
        mRest.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        List<Event> events = new ArrayList<>(2);
        int start = mRest.readerIndex();
        if (tooLong()) {
            return events;
        }
        int end = eventEnd(start);
        while (end > 0) {
            ByteBuf event = mRest.copy(start, end - start);
            events.add(new Event(id(event), event));
            start = end;
            end = eventEnd(start);
        }
        mRest.readerIndex(start);
        mRest.discardReadBytes();
        return events;
    }

    /** Returns whether the event under way has become too long to be waited for. */
    boolean tooLong() {
        return mRest.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Returns whether part of an event is there. */
    boolean inEvent() {
        return mRest.isReadable();
    }

    /** Returns where the event ends that begins at an index, or -1 if its end is not there. */
    private int eventEnd(int start) {
        int lineStart = start;
        for (int i = start; i < mRest.writerIndex(); i++) {
            if (mRest.getByte(i) != LINE_END) {
                continue;
            }
            boolean blank = i == lineStart || (i == lineStart + 1 && mRest.getByte(i - 1) == '\r');
            if (blank && i > start) {
                return i + 1;
            }
            lineStart = i + 1;
        }
        return -1;
    }

    /** Reads the event's number byte by byte: this runs for each event of each stream. */
    private static OptionalLong id(ByteBuf event) {
        int lineStart = event.readerIndex();
        while (lineStart < event.writerIndex()) {
            int lineEnd = event.indexOf(lineStart, event.writerIndex(), LINE_END);
            int end = lineEnd < 0 ? event.writerIndex() : lineEnd;
            if (startsWithId(event, lineStart, end)) {
                return number(event, lineStart + ID_FIELD.length, end);
            }
            lineStart = end + 1;
        }
        return OptionalLong.empty();
    }

    private static boolean startsWithId(ByteBuf event, int start, int end) {
        return end - start >= ID_FIELD.length
                && event.getByte(start) == ID_FIELD[0]
                && event.getByte(start + 1) == ID_FIELD[1]
                && event.getByte(start + 2) == ID_FIELD[2];
    }

    private static OptionalLong number(ByteBuf event, int start, int end) {
        String text = event.toString(start, end - start, StandardCharsets.US_ASCII).trim();
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * A whole event.
     *
     * @param id its number, if it bears one
     * @param bytes its bytes with the blank line that ends it
     */
    record Event(OptionalLong id, ByteBuf bytes) {}
}
