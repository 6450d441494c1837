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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that are forgotten when their route, service and upstream are removed.
 */
@Timeout(20)
final class RemovedRouteLosesRequestTest {
    private final CountDownLatch mContinue = new CountDownLatch(1);
    private RunningGateway mGateway;
    private FakeServer mUpstream;

    @BeforeEach
    void start() throws Exception {
        mGateway =
                new RunningGateway(
                        new ConfigDialect(),
                        "service s;service t;route safe SAFE s 600000;"
                                + "route stream STREAM s 600000;route late SAFE t 600000");
        mUpstream = mGateway.addUpstream("u", "s", this::respond);
    }

    @AfterEach
    void close() throws Exception {
        mContinue.countDown();
        mGateway.close();
    }

    private boolean respond(String request, Socket socket) throws IOException {
        boolean stream = request.contains(" /stream/");
        if (stream) {
            FakeServer.write(socket, RunningGateway.streamHead(request) + RunningGateway.event(1));
        }
        while (mContinue.getCount() > 0) {
            Thread.onSpinWait();
        }
        if (request.contains("Id: lost")) {
            return false;
        }
        FakeServer.write(
                socket,
                stream ? RunningGateway.event(2) + "0\r\n\r\n" : RunningGateway.response(request));
        return true;
    }

    private void removeAll() {
        mGateway.configure("service other");
        mGateway.removeUpstream("u");
    }

    @ParameterizedTest
    @ValueSource(strings = {"safe", "stream"})
    void relaysTheResponseToARequestThatWasSentBefore(String route) throws Exception {
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(socket, request(route, "1"));
            mUpstream.requests().take();
            removeAll();
            mContinue.countDown();
            assertThat(new ResponseReader(socket).next())
                    .startsWith("HTTP/1.1 200")
                    .matches("(?s).*(body|0\r\n\r\n)");
        }
    }

    @Test
    void answersARequestThatCannotBeSentAgain() throws Exception {
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(socket, request("safe", "lost"));
            mUpstream.requests().take();
            removeAll();
            mContinue.countDown();
            assertThat(new ResponseReader(socket).next()).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void refusesARequestThatWaitsForAnUpstream() throws Exception {
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(socket, request("late", "1"));
            removeAll();
            // It is refused as not found if the removal comes first.
            assertThat(new ResponseReader(socket).next()).matches("(?s)HTTP/1.1 (503|404) .*");
        }
    }
}
