package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.RunningGateway.event;
import static org.magnoliapick.gateway.RunningGateway.request;
import static org.magnoliapick.gateway.RunningGateway.response;
import static org.magnoliapick.gateway.RunningGateway.streamHead;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a success with a part of its body, or none, after a response that broke off. */
@Timeout(120)
final class CutHeadSeemsCompleteTest {
    /** Longer than the delay of requests to an upstream that lost some. */
    private static final long BACKOFF_MILLIS = 3_000;

    /** A place inside of each line, and of each chunk, is among those that this step reaches. */
    private static final int STREAM_STEP = 7;

    private static final String END = "0\r\n\r\n";

    private RunningGateway mGateway;

    /** How many characters of a response are sent. */
    private volatile int mLength;

    private volatile boolean mReset;
    private volatile boolean mResumed;

    @BeforeEach
    void start() throws Exception {
        mGateway =
                new RunningGateway(
                        new ConfigDialect(),
                        "service s;route unsafe UNSAFE s 600000;route stream STREAM s 600000");
        mGateway.addUpstream("u", "s", this::respond);
    }

    @AfterEach
    void close() throws Exception {
        mGateway.close();
    }

    private boolean respond(String request, Socket socket) throws IOException {
        if (mResumed && !request.contains("After: ")) {
            FakeServer.write(socket, streamHead(request) + event(1));
        } else {
            FakeServer.write(socket, whole(request).substring(0, mLength));
        }
        if (mReset) {
            FakeServer.reset(socket);
        }
        return false;
    }

    private static String whole(String request) {
        return request.contains("/stream/")
                ? streamHead(request) + event(1) + event(2) + END
                : response(request);
    }

    private String send(String route, int number) throws Exception {
        mGateway.advanceClock(BACKOFF_MILLIS);
        try (Socket socket = mGateway.connect()) {
            String text = request(route, "1" + number);
            FakeServer.write(socket, text.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            return GatewayFixture.readAll(socket);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aPlainResponseThatBreaksOffIsNoSuccess(boolean reset) throws Exception {
        mReset = reset;
        int length = response(request("unsafe", "100")).length();
        for (int i = 0; i < length; i++) {
            mLength = i;
            assertThat(send("unsafe", i % 90 + 10)).as("cut at " + i).startsWith("HTTP/1.1 50");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aStreamThatBreaksOffDoesNotEnd(boolean reset) throws Exception {
        mReset = reset;
        assertNoStreamEnds();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResumedStreamThatBreaksOffDoesNotEnd(boolean reset) throws Exception {
        mReset = reset;
        mResumed = true;
        assertNoStreamEnds();
    }

    private void assertNoStreamEnds() throws Exception {
        int length = whole(request("stream", "100")).length();
        for (int i = 0; i < length; i += STREAM_STEP) {
            mLength = i;
            assertThat(send("stream", i % 90 + 10)).as("cut at " + i).doesNotEndWith(END);
        }
    }
}
