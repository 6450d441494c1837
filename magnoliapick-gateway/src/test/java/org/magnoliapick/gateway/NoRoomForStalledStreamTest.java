package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.RunningGateway.event;
import static org.magnoliapick.gateway.RunningGateway.request;
import static org.magnoliapick.gateway.RunningGateway.requestId;
import static org.magnoliapick.gateway.RunningGateway.streamHead;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams that are broken off for a silence although no other upstream has room. */
@Timeout(20)
final class NoRoomForStalledStreamTest {
    /** Longer than a stream may be silent before another upstream is looked for. */
    private static final long STALL_MILLIS = 3_000;

    private final CountDownLatch mContinue = new CountDownLatch(1);
    private RunningGateway mGateway;
    private FakeServer mSilent;

    @BeforeEach
    void start() throws Exception {
        mGateway =
                new RunningGateway(new ConfigDialect(), "service s;route stream STREAM s 600000");
        mSilent = mGateway.addUpstream("u", "s", this::respond);
    }

    @AfterEach
    void close() throws Exception {
        mContinue.countDown();
        mGateway.close();
    }

    /** Is silent after the first event, or before its head; refuses whatever comes meanwhile. */
    private boolean respond(String request, Socket socket) throws IOException {
        boolean first = mSilent == null || mSilent.requests().size() == 1;
        if (!first) {
            FakeServer.write(
                    socket,
                    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: "
                            + requestId(request)
                            + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        boolean begun = request.contains("Id: begun");
        if (begun) {
            FakeServer.write(socket, streamHead(request) + event(1));
        }
        while (mContinue.getCount() > 0) {
            Thread.onSpinWait();
        }
        FakeServer.write(
                socket, (begun ? "" : streamHead(request) + event(1)) + event(2) + "0\r\n\r\n");
        return true;
    }

    private static boolean respondToResume(String request, Socket socket) throws IOException {
        boolean begun = request.contains("After: 1");
        FakeServer.write(
                socket, streamHead(request) + (begun ? "" : event(1)) + event(2) + "0\r\n\r\n");
        return true;
    }

    private static void readUntil(Socket socket, StringBuilder received, String end)
            throws IOException {
        while (received.indexOf(end) < 0) {
            int next = socket.getInputStream().read();
            assertThat(next).as(received.toString()).isNotNegative();
            received.append((char) next);
        }
    }

    private void sendAndStall(Socket socket, StringBuilder received, String id) throws Exception {
        FakeServer.write(socket, request("stream", id));
        if (id.equals("begun")) {
            readUntil(socket, received, "id: 1\n");
        } else {
            // The request stays in the queue, by whose size the script knows the first one.
            while (mSilent.requests().isEmpty()) {
                Thread.onSpinWait();
            }
            assertThat(mSilent.requests().peek()).contains(id);
        }
        mGateway.advanceClock(STALL_MILLIS);
        mGateway.awaitLogged("attempt.stalled");
    }

    @ParameterizedTest
    @ValueSource(strings = {"begun", "silent"})
    void goesOnWithTheSilentUpstreamIfNoOtherHasRoom(String id) throws Exception {
        try (Socket socket = mGateway.connect()) {
            StringBuilder received = new StringBuilder();
            sendAndStall(socket, received, id);
            mGateway.awaitLogged("failover.unavailable");
            mContinue.countDown();
            readUntil(socket, received, "0\r\n\r\n");
            assertThat(received.toString())
                    .startsWith("HTTP/1.1 200")
                    .containsOnlyOnce("id: 1\n")
                    .containsOnlyOnce("id: 2\n");
            assertThat(mSilent.requests()).hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"begun", "silent"})
    void resumesAtAnotherUpstreamThatHasRoom(String id) throws Exception {
        try (Socket socket = mGateway.connect()) {
            StringBuilder received = new StringBuilder();
            FakeServer.write(socket, request("stream", id));
            if (id.equals("begun")) {
                readUntil(socket, received, "id: 1\n");
            } else {
                mSilent.requests().take();
            }
            mGateway.addUpstream("v", "s", NoRoomForStalledStreamTest::respondToResume);
            mGateway.advanceClock(STALL_MILLIS);
            readUntil(socket, received, "0\r\n\r\n");
            assertThat(received.toString())
                    .startsWith("HTTP/1.1 200")
                    .containsOnlyOnce("id: 1\n")
                    .containsOnlyOnce("id: 2\n");
        }
    }

    /** An upstream that takes the stream later serves it, if the first one is still silent. */
    @Test
    void resumesOnceAnotherUpstreamIsListed() throws Exception {
        try (Socket socket = mGateway.connect()) {
            StringBuilder received = new StringBuilder();
            sendAndStall(socket, received, "begun");
            mGateway.awaitLogged("failover.unavailable");
            mGateway.addUpstream("v", "s", NoRoomForStalledStreamTest::respondToResume);
            mGateway.advanceClock(STALL_MILLIS);
            readUntil(socket, received, "0\r\n\r\n");
            assertThat(received.toString()).containsOnlyOnce("id: 2\n");
        }
    }
}
