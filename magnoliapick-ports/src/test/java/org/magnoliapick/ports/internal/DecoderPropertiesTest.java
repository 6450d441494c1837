package org.magnoliapick.ports.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.magnoliapick.ports.AttemptFailure;
import org.magnoliapick.ports.LogPage;

final class DecoderPropertiesTest {
    private static final String SEED = "20261204";
    private static final int MAX_EVENT_BYTES = 64;

    /** Gives at most so many bytes for each read. */
    private static final class Trickle extends InputStream {
        private final ByteArrayInputStream mBytes;
        private final int mPieceBytes;

        Trickle(byte[] bytes, int pieceBytes) {
            mBytes = new ByteArrayInputStream(bytes);
            mPieceBytes = pieceBytes;
        }

        @Override
        public int read() {
            return mBytes.read();
        }

        @Override
        public int read(byte[] target, int offset, int length) {
            return mBytes.read(target, offset, Math.min(length, mPieceBytes));
        }
    }

    /** Returns the data of all events, and the failure if the decoder gave up. */
    private static List<String> decode(byte[] bytes, int pieceBytes) throws IOException {
        List<String> seen = new ArrayList<>();
        SseDecoder decoder = new SseDecoder(new Trickle(bytes, pieceBytes), MAX_EVENT_BYTES);
        try {
            Optional<SseDecoder.Event> event = decoder.next();
            while (event.isPresent()) {
                byte[] data = event.get().data();
                assertThat(data.length).isLessThanOrEqualTo(MAX_EVENT_BYTES);
                seen.add(event.get().type() + "|" + new String(data, StandardCharsets.ISO_8859_1));
                event = decoder.next();
            }
        } catch (ExchangeException e) {
            assertThat(e.failure()).isEqualTo(AttemptFailure.MALFORMED);
            seen.add("malformed");
        }
        return seen;
    }

    @Property(seed = SEED, tries = 500)
    void anyBytesDecodeAlikeHoweverTheyArrive(
            @ForAll @Size(max = 300) byte[] noise, @ForAll @IntRange(min = 1, max = 7) int piece)
            throws IOException {
        byte[] bytes = likeAStream(noise);

        assertThat(decode(bytes, piece)).isEqualTo(decode(bytes, bytes.length + 1));
    }

    /** Maps some of the bytes to those that mean something in a stream. */
    private static byte[] likeAStream(byte[] noise) {
        byte[][] pieces = {
            "data: ".getBytes(StandardCharsets.UTF_8),
            "data:".getBytes(StandardCharsets.UTF_8),
            "event: ".getBytes(StandardCharsets.UTF_8),
            {'\n'},
            {'\r', '\n'},
            {'\r'},
            {':'},
            {'\n', '\n'},
        };
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte value : noise) {
            int index = value & 0x1f;
            out.writeBytes(index < pieces.length ? pieces[index] : new byte[] {value});
        }
        return out.toByteArray();
    }

    @Property(seed = SEED, tries = 500)
    void dataWithoutLineEndsComesThroughByteForByte(
            @ForAll @Size(max = MAX_EVENT_BYTES - 6) byte[] data,
            @ForAll @IntRange(min = 1, max = 9) int piece)
            throws IOException {
        for (int i = 0; i < data.length; i++) {
            data[i] = data[i] == '\n' || data[i] == '\r' ? (byte) 0x80 : data[i];
        }
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        stream.writeBytes("data: ".getBytes(StandardCharsets.UTF_8));
        stream.writeBytes(data);
        stream.writeBytes("\n\ndata: cut".getBytes(StandardCharsets.UTF_8));

        List<String> seen = decode(stream.toByteArray(), piece);

        assertThat(seen).containsExactly("|" + new String(data, StandardCharsets.ISO_8859_1));
    }

    @Property(seed = SEED, tries = 500)
    void anyBytesAreAPageWithoutGapsOrMalformed(
            @ForAll @Size(max = 200) byte[] noise,
            @ForAll @IntRange(min = 0, max = 255) int position,
            @ForAll byte flipped) {
        byte[] page =
                ("{\"entries\":[{\"offset\":3,\"appendedAtMillis\":1,\"payload\":\"AQI=\"},"
                                + "{\"offset\":4,\"appendedAtMillis\":2,\"payload\":\"\"}],"
                                + "\"firstKeptOffset\":1,\"endOffset\":5}")
                        .getBytes(StandardCharsets.UTF_8);
        page[position % page.length] = flipped;

        checkPage(page);
        checkPage(noise);
    }

    private static void checkPage(byte[] bytes) {
        try {
            LogPage page = new LogPageDecoder(3, 10).decode(Json.parseObject(bytes));
            long expected = Math.max(3, page.firstKeptOffset());
            for (int i = 0; i < page.entries().size(); i++) {
                assertThat(page.entries().get(i).offset()).isEqualTo(expected + i);
            }
        } catch (ExchangeException e) {
            assertThat(e.failure()).isEqualTo(AttemptFailure.MALFORMED);
        }
    }
}
