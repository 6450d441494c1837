package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.RunningGateway.request;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests that are read while another is answered and then get no answer. */
@Timeout(20)
final class PipelinedRequestLostTest {
    private final CountDownLatch mAnswer = new CountDownLatch(1);
    private RunningGateway mGateway;
    private FakeServer mUpstream;

    @BeforeEach
    void start() throws Exception {
        mGateway = new RunningGateway(new ConfigDialect(), "service s;route safe SAFE s 5000");
        mUpstream =
                mGateway.addUpstream(
                        "u",
                        "s",
                        (request, socket) -> {
                            awaitUninterruptibly();
                            FakeServer.write(socket, RunningGateway.response(request));
                            return true;
                        });
    }

    private void awaitUninterruptibly() {
        while (mAnswer.getCount() > 0) {
            Thread.onSpinWait();
        }
    }

    @AfterEach
    void close() throws Exception {
        mAnswer.countDown();
        mGateway.close();
    }

    @Test
    void answersRequestsThatWereReadBeforeAStop() throws Exception {
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(
                    socket, request("safe", "1") + request("safe", "2") + request("nowhere", "3"));
            mUpstream.requests().take();
            mGateway.beginStop();
            mAnswer.countDown();
            ResponseReader responses = new ResponseReader(socket);
            assertThat(responses.next()).startsWith("HTTP/1.1 200");
            assertThat(responses.next()).startsWith("HTTP/1.1 200");
            assertThat(responses.next())
                    .startsWith("HTTP/1.1 404")
                    .containsIgnoringCase("connection: close");
            assertThat(responses.next()).isEmpty();
        }
    }

    /** Refused requests may be sent again elsewhere; a closed connection tells nothing. */
    @Test
    void refusesRequestsThatWereReadBeforeTheEndOfAStop() throws Exception {
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(socket, request("safe", "1") + request("safe", "2"));
            mUpstream.requests().take();
            mGateway.beginStop();
            // The grace period is 1 s, in the first half of which requests are accepted.
            mGateway.advanceClock(600);
            mAnswer.countDown();
            ResponseReader responses = new ResponseReader(socket);
            assertThat(responses.next()).startsWith("HTTP/1.1 200");
            assertThat(responses.next())
                    .startsWith("HTTP/1.1 503")
                    .contains("not-ready")
                    .containsIgnoringCase("connection: close");
            assertThat(responses.next()).isEmpty();
        }
    }
}
