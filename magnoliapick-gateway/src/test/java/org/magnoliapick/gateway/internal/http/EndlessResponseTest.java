package org.magnoliapick.gateway.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliapick.request.AttemptEnd;

/** Guards against a server whose bytes without end take the event loop from all others. */
final class EndlessResponseTest {
    /** The bytes by which what is no response is to be recognised. */
    private static final int MAX_BYTES = 128 << 10;

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ResponseDecoder mDecoder = new ResponseDecoder();
    private final HttpConnection mConnection = new HttpConnection(mDecoder);
    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(new HttpRequestEncoder(), mDecoder, mConnection);

    private Optional<AttemptEnd> mEnd = Optional.empty();
    private boolean mComplete;

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
    }

    private final class RecordingListener implements ResponseListener {
        @Override
        public boolean onHead(HttpResponse head) {
            return !head.headers().contains("Other");
        }

        @Override
        public void onContent(ByteBuf chunk) {}

        @Override
        public void onComplete() {
            mComplete = true;
        }

        @Override
        public void onFailure(AttemptEnd end) {
            mEnd = Optional.of(end);
        }
    }

    private void send() {
        mConnection.send(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                Unpooled.EMPTY_BUFFER,
                new RecordingListener());
    }

    private void receive(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "|HTTP/1.1 200",
                "HTTP/1.1 200 OK\r\n|a: b\r\n",
                "|HTTP/1.1 100 Continue\r\n\r\n",
                "|HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n",
                "|HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nOther: 1\r\n\r\n|bodybodybodybody",
                CHUNKED + "|1\r\nx\r\n",
                CHUNKED + "0\r\n|a: b\r\n"
            })
    void endsARequestWhoseResponseIsNone(String startAndRepeated) {
        String[] parts = startAndRepeated.split("\\|");
        send();
        receive(parts[0]);
        int bytes = 0;
        String piece = parts[1].repeat(1 + 1_024 / parts[1].length());
        while (mEnd.isEmpty()) {
            receive(piece);
            bytes += piece.length();
            assertThat(bytes).isLessThanOrEqualTo(MAX_BYTES);
        }
        assertThat(mEnd).contains(AttemptEnd.EXCESSIVE);
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void receivesASoundResponseInManyPieces() {
        send();
        receive("HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED);
        for (int i = 0; i < 20_000; i++) {
            receive("6\r\n");
            receive("id: 1\n\r\n");
        }
        receive("0\r\n\r\n");
        assertThat(mEnd).isEmpty();
        assertThat(mComplete).isTrue();
    }

    /** The bounds are those of one request, not of the connection. */
    @Test
    void countsForEachRequestAnew() {
        for (int i = 0; i < 200; i++) {
            send();
            receive("HTTP/1.1 100 Continue\r\n\r\n");
            receive(CHUNKED + "1\r\nx\r\n".repeat(100) + "0\r\n\r\n");
            assertThat(mEnd).isEmpty();
            assertThat(mComplete).isTrue();
            mComplete = false;
        }
    }
}
