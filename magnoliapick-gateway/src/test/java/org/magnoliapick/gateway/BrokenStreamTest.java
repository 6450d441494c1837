package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.GatewayFixture.requestId;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against foreign bytes, or an end mark, in a stream that broke off and was resumed. */
@Timeout(60)
final class BrokenStreamTest {
    private static final String STREAM =
            "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String FIRST = "e\r\nid: 1\ndata:a\n\n\r\n";
    private static final String SECOND = "e\r\nid: 2\ndata:b\n\n\r\n";
    private static final String END = "0\r\n\r\n";

    private static GatewayFixture gatewayThatResumesWith(FakeServer.Script resumed)
            throws Exception {
        return new GatewayFixture(
                (request, socket) -> {
                    if (request.contains("After: 1")) {
                        return resumed.respond(request, socket);
                    }
                    return breakAfterFirst(request, socket);
                });
    }

    private static boolean breakAfterFirst(String request, Socket socket) throws IOException {
        FakeServer.write(socket, STREAM.formatted(requestId(request)) + FIRST);
        FakeServer.reset(socket);
        return false;
    }

    private static void assertBrokenAfterFirst(String response) {
        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(response.substring(response.indexOf("\r\n\r\n") + 4)).isEqualTo(FIRST);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 404 Not Found\r\nSigned: x\r\nContent-Length: 5\r\n\r\nerror",
                "HTTP/1.1 400 Bad Request\r\nContent-Length: 5\r\n\r\nerror",
                "HTTP/1.1 409 Conflict\r\nSigned: x\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 500 Error\r\nSigned: x\r\nContent-Length: 5\r\n\r\nerror",
                "HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nerror",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nerror",
                "HTTP/1.1 204 No Content\r\nSigned: x\r\n\r\n",
                "HTTP/1.1 200 OK\r\nSigned: x\r\nContent-Type: text/plain\r\n"
                        + "Content-Length: 7\r\n\r\nerror\n\n",
                "HTTP/1.1 200 OK\r\nSigned: x\r\nContent-Type: application/json\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 206 Partial\r\nSigned: x\r\nContent-Type: text/event-stream\r\n"
                        + "Content-Length: 14\r\n\r\nid: 2\ndata:b\n\n",
                "HTTP/1.1 200 OK\r\nSigned: x\r\nContent-Type: text/event-stream\r\n"
                        + "Content-Encoding: gzip\r\nContent-Length: 14\r\n\r\nid: 2\ndata:b\n\n",
                "HTTP/1.1 200 OK\r\nSigned: x\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nSigned: x\r\nContent-Type: text/event-stream\r\n"
                        + "Content-Length: 14\r\n\r\nid: 3\ndata:c\n\n",
                "HTTP/1.1 200 OK\r\nSigned: x\r\nContent-Type: text/event-stream\r\n"
                        + "Content-Length: 28\r\n\r\nid: 3\ndata:c\n\nid: 4\ndata:d\n\n",
                "HTTP/1.1 200 OK\r\nSigned: x\r\nContent-Type: text/event-stream\r\n"
                        + "Content-Length: 13\r\n\r\ndata: error\n\n"
            })
    void anAnswerThatDoesNotContinueTheStreamIsNotWrittenIntoIt(String answer) throws Exception {
        try (GatewayFixture gateway =
                gatewayThatResumesWith(
                        (request, socket) -> {
                            String id = "\r\nId: " + requestId(request) + "\r\n";
                            FakeServer.write(socket, answer.replaceFirst("\r\n", id));
                            return true;
                        })) {
            assertBrokenAfterFirst(gateway.send("stream", "1"));
        }
    }

    @Test
    void aResumeThatBeginsAnewIsRelayedFromTheNextEventOn() throws Exception {
        try (GatewayFixture gateway =
                gatewayThatResumesWith(
                        (request, socket) -> {
                            String head = STREAM.formatted(requestId(request));
                            FakeServer.write(socket, head + FIRST + SECOND + END);
                            return true;
                        })) {
            assertThat(gateway.send("stream", "1")).endsWith("\r\n\r\n" + FIRST + SECOND + END);
        }
    }

    /** The last event was relayed, only the end of the stream was lost. */
    @Test
    void aResumeThatEndsWithTheLastRelayedEventEndsTheStream() throws Exception {
        try (GatewayFixture gateway =
                gatewayThatResumesWith(
                        (request, socket) -> {
                            String head = STREAM.formatted(requestId(request));
                            FakeServer.write(socket, head + FIRST + END);
                            return true;
                        })) {
            assertThat(gateway.send("stream", "1")).endsWith("\r\n\r\n" + FIRST + END);
        }
    }

    @Test
    void aRefusedResumeIsTriedAgain() throws Exception {
        try (GatewayFixture gateway =
                gatewayThatResumesWith(
                        new FakeServer.Script() {
                            private int mResumes;

                            @Override
                            public boolean respond(String request, Socket socket)
                                    throws IOException {
                                mResumes++;
                                String id = requestId(request);
                                FakeServer.write(
                                        socket,
                                        mResumes == 1
                                                ? "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: "
                                                        + id
                                                        + "\r\nContent-Length: 2\r\n\r\nno"
                                                : STREAM.formatted(id) + SECOND + END);
                                return true;
                            }
                        })) {
            assertThat(gateway.send("stream", "1")).endsWith("\r\n\r\n" + FIRST + SECOND + END);
            assertThat(gateway.upstreamRequests()).isEqualTo(3);
        }
    }

    /** What follows on the connection could not be told from the rest of the stream. */
    @Test
    void aKeptConnectionIsClosedAfterTheBrokenStream() throws Exception {
        try (GatewayFixture gateway =
                        gatewayThatResumesWith(
                                (request, socket) -> {
                                    String id = requestId(request);
                                    FakeServer.write(
                                            socket,
                                            "HTTP/1.1 404 Not Found\r\nId: "
                                                    + id
                                                    + "\r\nContent-Length: 0\r\n\r\n");
                                    return true;
                                });
                Socket caller = gateway.connect()) {
            String head = "POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: %s\r\n";
            String request = head + "Content-Length: 0\r\n\r\n";
            FakeServer.write(caller, request.formatted("1") + request.formatted("2"));
            assertBrokenAfterFirst(GatewayFixture.readAll(caller));
            assertThat(gateway.upstreamRequests()).isEqualTo(2);
        }
    }
}
