package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.RunningGateway.request;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests without an answer that are in flight when the time to stop ends. */
@Timeout(20)
final class StopLosesRequestTest {
    private final CountDownLatch mEnd = new CountDownLatch(1);
    private RunningGateway mGateway;
    private FakeServer mUpstream;

    @BeforeEach
    void start() throws Exception {
        mGateway =
                new RunningGateway(new ConfigDialect(), "service s;route unsafe UNSAFE s 600000");
        mUpstream = mGateway.addUpstream("u", "s", this::respond);
    }

    private boolean respond(String request, Socket socket) throws IOException {
        try {
            mEnd.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        return false;
    }

    @AfterEach
    void close() throws Exception {
        mEnd.countDown();
        mGateway.close();
    }

    /** The first request was sent to an upstream, the second one waits behind it. */
    @Test
    void answersRequestsThatAreInFlightAtTheEndOfAStop() throws Exception {
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(socket, request("unsafe", "1") + request("unsafe", "2"));
            mUpstream.requests().take();
            mGateway.beginStop();
            mGateway.advanceClock(800);
            ResponseReader responses = new ResponseReader(socket);
            assertThat(responses.next()).startsWith("HTTP/1.1 504").contains("outcome-unknown");
            assertThat(responses.next())
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("connection: close");
            assertThat(responses.next()).isEmpty();
        }
    }
}
