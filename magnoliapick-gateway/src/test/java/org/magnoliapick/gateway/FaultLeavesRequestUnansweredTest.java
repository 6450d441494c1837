package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.RunningGateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests without an answer after a fault of the gateway itself. */
@Timeout(20)
final class FaultLeavesRequestUnansweredTest {
    private RunningGateway mGateway;
    private FakeServer mUpstream;

    /** Throws where the identifier of a request says so. */
    private static final class FaultyDialect extends ConfigDialect {
        @Override
        public Optional<RequestHead> readRequest(HttpRequest head) {
            throwIf("read", head.headers().get("Id", ""));
            return super.readRequest(head);
        }

        @Override
        public void rewriteHeaders(HttpHeaders headers, ForwardedHead forwarded) {
            throwIf("rewrite", headers.get("Id", ""));
            super.rewriteHeaders(headers, forwarded);
        }

        @Override
        public ResponseHead readResponse(HttpResponse head) {
            throwIf("response", head.headers().get("Id", ""));
            return super.readResponse(head);
        }

        private static void throwIf(String step, String id) {
            if (id.startsWith(step + "-exception")) {
                throw new IllegalStateException(id);
            } else if (id.startsWith(step + "-error")) {
                throw new StackOverflowError(id);
            }
        }
    }

    @BeforeEach
    void start() throws Exception {
        // The timeout of the route is far beyond that of a test.
        mGateway =
                new RunningGateway(
                        new FaultyDialect(),
                        "service s;route unsafe UNSAFE s 600000;route stream STREAM s 600000");
        mUpstream = mGateway.addUpstream("u", "s", FaultLeavesRequestUnansweredTest::respond);
    }

    private static boolean respond(String request, Socket socket) throws IOException {
        FakeServer.write(socket, RunningGateway.response(request));
        return true;
    }

    @AfterEach
    void close() throws Exception {
        mGateway.close();
    }

    /** The first request opens the connection to the upstream, the third one reuses it. */
    private void assertAnswered(String id, String status, String outcome) throws IOException {
        try (Socket socket = mGateway.connect()) {
            ResponseReader responses = new ResponseReader(socket);
            for (int i = 0; i < 2; i++) {
                FakeServer.write(socket, request("unsafe", id + i));
                assertThat(responses.next()).startsWith("HTTP/1.1 " + status).contains(outcome);
                FakeServer.write(socket, request("unsafe", "sound" + i));
                assertThat(responses.next()).startsWith("HTTP/1.1 200");
            }
        }
        mGateway.awaitLogged(id + "1");
    }

    @ParameterizedTest
    @ValueSource(strings = {"read-exception", "read-error"})
    void answersARequestThatCannotBeProcessed(String id) throws Exception {
        assertAnswered(id, "500", "not-run");
        assertThat(mUpstream.requests()).noneMatch(each -> each.contains("Id: " + id));
    }

    @ParameterizedTest
    @ValueSource(strings = {"rewrite-exception", "rewrite-error"})
    void answersARequestThatCannotBeSent(String id) throws Exception {
        assertAnswered(id, "500", "not-run");
        assertThat(mUpstream.requests()).noneMatch(each -> each.contains("Id: " + id));
    }

    @ParameterizedTest
    @ValueSource(strings = {"response-exception", "response-error"})
    void answersARequestWhoseResponseCannotBeProcessed(String id) throws Exception {
        assertAnswered(id, "500", "outcome-unknown");
    }

    @Test
    void logsTheFaultWithTheRequestThatItEnded() throws Exception {
        assertAnswered("read-exception", "500", "not-run");
        mGateway.awaitLogged(
                "\"kind\":\"request.fault\",\"request\":\"\",\"path\":\"/unsafe/x\","
                        + "\"fault\":\"java.lang.IllegalStateException: read-exception1\"");
    }
}
