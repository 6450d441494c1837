package org.magnoliapick.gateway.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.FakeServer;
import org.magnoliapick.request.AttemptEnd;

/** Guards against a response without a length that is reset and passed on as complete. */
@Timeout(30)
final class ResetResponseSeemsCompleteTest {
    /** More than the buffers of both sockets hold, so that the request is still being written. */
    private static final int LONG_BODY_BYTES = 32 << 20;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

    private final EventLoopGroup mLoop = new NioEventLoopGroup(1);
    private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();
    private final CountDownLatch mContentReceived = new CountDownLatch(1);
    private ServerSocket mServer;

    @BeforeEach
    void listen() throws IOException {
        mServer = new ServerSocket();
        mServer.setReceiveBufferSize(8_192);
        mServer.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    }

    @AfterEach
    void close() throws IOException {
        mServer.close();
        mLoop.shutdownGracefully();
    }

    private final class RecordingListener implements ResponseListener {
        @Override
        public boolean onHead(HttpResponse head) {
            return true;
        }

        @Override
        public void onContent(ByteBuf chunk) {
            mEvents.add(chunk.toString(StandardCharsets.ISO_8859_1));
            mContentReceived.countDown();
        }

        @Override
        public void onComplete() {
            mEvents.add("complete");
        }

        @Override
        public void onFailure(AttemptEnd end) {
            mEvents.add(end.name());
        }
    }

    /** Sends a request and answers its head with half a body; returns the server's socket. */
    private Socket answerHalf(int bodyBytes) throws Exception {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        new Connector(mLoop)
                .open(
                        new AddressPort("127.0.0.1", mServer.getLocalPort()),
                        1_000,
                        connection ->
                                connection.send(
                                        request,
                                        Unpooled.wrappedBuffer(new byte[bodyBytes]),
                                        new RecordingListener()),
                        cause -> mEvents.add(cause.toString()));
        Socket socket = mServer.accept();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
        FakeServer.write(socket, HEAD + "half");
        mContentReceived.await();
        assertThat(mEvents.take()).isEqualTo("half");
        return socket;
    }

    @ParameterizedTest
    @ValueSource(ints = {0, LONG_BODY_BYTES})
    void aResponseThatIsResetIsCut(int bodyBytes) throws Exception {
        FakeServer.reset(answerHalf(bodyBytes));
        assertThat(mEvents.take()).isEqualTo("CUT");
    }

    /** The kernel does this for a process that is killed before it has read all. */
    @Test
    void aResponseThatIsResetAfterItsEndWhileTheRequestIsWrittenIsCut() throws Exception {
        Socket socket = answerHalf(LONG_BODY_BYTES);
        socket.shutdownOutput();
        FakeServer.reset(socket);
        assertThat(mEvents.take()).isEqualTo("CUT");
    }

    @Test
    void aResponseThatEndsBeforeTheRequestIsReadIsComplete() throws Exception {
        try (Socket socket = answerHalf(LONG_BODY_BYTES)) {
            FakeServer.write(socket, "rest");
            socket.shutdownOutput();
            assertThat(mEvents.take()).isEqualTo("rest");
            assertThat(socket.getInputStream().readNBytes(LONG_BODY_BYTES))
                    .hasSize(LONG_BODY_BYTES);
            assertThat(mEvents.take()).isEqualTo("complete");
            // The connection cannot carry another request.
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void aResponseThatEndsWithItsConnectionIsComplete() throws Exception {
        try (Socket socket = answerHalf(0)) {
            socket.shutdownOutput();
            assertThat(mEvents.take()).isEqualTo("complete");
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }
}
