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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliapick.request.AttemptEnd;

/** Guards against requests sent on a connection whose reading an earlier response paused. */
final class PausedConnectionLosesRequestTest {
    private final ResponseDecoder mDecoder = new ResponseDecoder();
    private final HttpConnection mConnection = new HttpConnection(mDecoder);
    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(new HttpRequestEncoder(), mDecoder, mConnection);

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
    }

    /** Pauses reading at each chunk, as for a caller that reads too slowly. */
    private final class PausingListener implements ResponseListener {
        private boolean mComplete;

        @Override
        public boolean onHead(HttpResponse head) {
            return true;
        }

        @Override
        public void onContent(ByteBuf chunk) {
            mConnection.setReading(false);
        }

        @Override
        public void onComplete() {
            mComplete = true;
        }

        @Override
        public void onFailure(AttemptEnd end) {
            throw new AssertionError(end);
        }
    }

    private boolean send(ResponseListener listener) {
        return mConnection.send(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                Unpooled.EMPTY_BUFFER,
                listener);
    }

    @Test
    void readsAgainAfterAResponseThatEndedWhileReadingWasPaused() {
        PausingListener listener = new PausingListener();
        assertThat(send(listener)).isTrue();
        mChannel.writeInbound(
                Unpooled.copiedBuffer(
                        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                        StandardCharsets.ISO_8859_1));
        assertThat(listener.mComplete).isTrue();
        assertThat(mConnection.isIdle()).isTrue();
        assertThat(mChannel.config().isAutoRead()).isTrue();
    }
}
