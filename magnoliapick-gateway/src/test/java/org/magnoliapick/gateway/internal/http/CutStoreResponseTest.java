package org.magnoliapick.gateway.internal.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.FakeServer;

/** Guards against a part of an answer of the store that is taken for all of it. */
@Timeout(60)
final class CutStoreResponseTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final String WITH_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final BlockingQueue<String> mEnds = new LinkedBlockingQueue<>();
    private volatile String mResponse = "";
    private volatile boolean mReset;
    private FakeServer mStore;
    private BufferingHttpClient mClient;

    @BeforeEach
    void start() throws IOException {
        mStore = new FakeServer(this::respond);
        mClient =
                new BufferingHttpClient(
                        mGroup.next(),
                        new Connector(mGroup),
                        new AddressPort("127.0.0.1", mStore.port()),
                        () -> 0);
    }

    @AfterEach
    void close() throws IOException {
        mGroup.shutdownGracefully();
        mStore.close();
    }

    private boolean respond(String request, Socket socket) throws IOException {
        FakeServer.write(socket, mResponse);
        if (mReset) {
            FakeServer.reset(socket);
        }
        return false;
    }

    private final class RecordingListener implements BufferingHttpClient.Listener {
        @Override
        public void answered(HttpResponse head, byte[] body) {
            mEnds.add("answered " + new String(body, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void failed(String reason) {
            mEnds.add("failed");
        }
    }

    private String send(String response) throws InterruptedException {
        mResponse = response;
        mGroup.next()
                .execute(
                        () ->
                                mClient.send(
                                        new DefaultHttpRequest(
                                                HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                        TIMEOUT_MILLIS,
                                        new RecordingListener()));
        return mEnds.take();
    }

    @ParameterizedTest
    @CsvSource({"false,false", "false,true", "true,false", "true,true"})
    void anAnswerThatBreaksOffFails(boolean chunked, boolean reset) throws Exception {
        mReset = reset;
        String whole = chunked ? CHUNKED : WITH_LENGTH;
        for (int i = 0; i < whole.length(); i++) {
            assertThat(send(whole.substring(0, i))).as("cut at " + i).isEqualTo("failed");
        }
        mReset = false;
        assertThat(send(whole)).isEqualTo("answered body");
    }
}
