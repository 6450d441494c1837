package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.RunningGateway.event;
import static org.magnoliapick.gateway.RunningGateway.request;
import static org.magnoliapick.gateway.RunningGateway.streamHead;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against streams that are broken off because their upstream is silent for a while. */
@Timeout(20)
final class SilentUpstreamEndsStreamTest {
    private final CountDownLatch mContinue = new CountDownLatch(1);
    private RunningGateway mGateway;

    @BeforeEach
    void start() throws Exception {
        mGateway =
                new RunningGateway(new ConfigDialect(), "service s;route stream STREAM s 600000");
        mGateway.addUpstream("u", "s", this::respond);
        mGateway.addUpstream("v", "s", this::respond);
    }

    @AfterEach
    void close() throws Exception {
        mContinue.countDown();
        mGateway.close();
    }

    /** Breaks off after the first event; a resumed stream is silent after the second one. */
    private boolean respond(String request, Socket socket) throws IOException {
        FakeServer.write(socket, streamHead(request));
        if (!request.contains("After: 1")) {
            FakeServer.write(socket, event(1));
            return false;
        }
        FakeServer.write(socket, event(2));
        while (mContinue.getCount() > 0) {
            Thread.onSpinWait();
        }
        FakeServer.write(socket, event(3) + "0\r\n\r\n");
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

    /** All attempts of the route are used up by then. */
    @Test
    void waitsForASilentUpstreamIfTheStreamMayNotBeResumed() throws Exception {
        try (Socket socket = mGateway.connect();
                Socket idle = mGateway.connect()) {
            FakeServer.write(socket, request("stream", "1"));
            StringBuilder received = new StringBuilder();
            readUntil(socket, received, "id: 2\n");
            mGateway.advanceClock(11_000);
            // Streams and idle connections are checked together.
            assertThat(idle.getInputStream().read()).isEqualTo(-1);
            mContinue.countDown();
            readUntil(socket, received, "0\r\n\r\n");
            assertThat(received.toString()).contains("id: 1\n", "id: 2\n", "id: 3\n");
        }
    }
}
