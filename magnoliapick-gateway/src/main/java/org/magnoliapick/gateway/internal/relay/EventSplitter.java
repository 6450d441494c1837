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
    private static final String ID_FIELD = "id:";

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

    private static OptionalLong id(ByteBuf event) {
        String text = event.toString(StandardCharsets.UTF_8);
        for (String line : text.split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    return OptionalLong.of(
                            Long.parseLong(line.substring(ID_FIELD.length()).trim()));
                } catch (NumberFormatException e) {
                    return OptionalLong.empty();
                }
            }
        }
        return OptionalLong.empty();
    }

    /**
     * A whole event.
     *
     * @param id its number, if it bears one
     * @param bytes its bytes with the blank line that ends it
     */
    record Event(OptionalLong id, ByteBuf bytes) {}
}
