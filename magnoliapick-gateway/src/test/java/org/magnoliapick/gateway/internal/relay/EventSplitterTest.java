package org.magnoliapick.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.magnoliapick.gateway.internal.http.BufferBudget;

final class EventSplitterTest {
    private static final String STREAM =
            "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\ndata:c\n\n";

    private static EventSplitter newSplitter() {
        return new EventSplitter(new BufferBudget(4 << 20));
    }

    private static List<String> feed(EventSplitter splitter, String text) {
        List<String> events = new ArrayList<>();
        for (EventSplitter.Event event :
                splitter.feed(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))) {
            events.add(event.id() + event.bytes().toString(StandardCharsets.UTF_8));
        }
        return events;
    }

    @Property(tries = 100, seed = "1")
    void splitsTheSameEventsForAnyChunkSize(@ForAll @IntRange(min = 1, max = 40) int size) {
        EventSplitter splitter = newSplitter();
        List<String> events = new ArrayList<>();
        for (int i = 0; i < STREAM.length(); i += size) {
            events.addAll(feed(splitter, STREAM.substring(i, Math.min(STREAM.length(), i + size))));
        }
        assertThat(events).isEqualTo(feed(newSplitter(), STREAM)).hasSize(3);
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    @Test
    void parsesTheFirstIdFieldOnAnyLine() {
        EventSplitter splitter = newSplitter();
        assertThat(feed(splitter, "data: id: 9\nid:  12 \r\n\r\n")).hasSize(1);
        assertThat(feed(splitter, "data: id: 9\nid:  12 \r\n\r\n").get(0))
                .startsWith("OptionalLong[12]");
        assertThat(feed(splitter, "id: x\nid: 3\n\n").get(0)).startsWith("OptionalLong.empty");
        assertThat(feed(splitter, "data: a\n\n").get(0)).startsWith("OptionalLong.empty");
    }

    /** Guards against the square of an event's size in steps, which holds up all other streams. */
    @Test
    @Timeout(20)
    void readsALongEventInSmallPiecesOnce() {
        EventSplitter splitter = newSplitter();
        String piece = "data: 0123456789";
        for (int bytes = 0; bytes < 1_000_000; bytes += piece.length()) {
            assertThat(feed(splitter, piece)).isEmpty();
        }
        assertThat(feed(splitter, "\r\nid: 7\n\r\n")).hasSize(1);
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    @Test
    void reportsAPartialEvent() {
        EventSplitter splitter = newSplitter();
        assertThat(feed(splitter, "id: 1\ndata")).isEmpty();
        assertThat(splitter.hasPartialEvent()).isTrue();
    }
}
