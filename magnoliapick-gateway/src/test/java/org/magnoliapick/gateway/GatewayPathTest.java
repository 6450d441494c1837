package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.magnoliapick.gateway.internal.GatewayProcess;

/** Tests the data path against loopback servers that violate the protocol on purpose. */
@Timeout(60)
final class GatewayPathTest {
    private static final String OK =
            "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: 4\r\n\r\nbody";
    private static final String STREAM =
            "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final List<AutoCloseable> mCloseables = new ArrayList<>();
    private final ByteArrayOutputStream mLog = new ByteArrayOutputStream();
    private int mCallerPort;

    private FakeServer startGateway(FakeServer.Script script) throws Exception {
        FakeServer upstream = new FakeServer(script);
        FakeServer store = new FakeServer(GatewayPathTest::respondEmptyPage);
        mCloseables.add(upstream);
        mCloseables.add(store);
        GatewayProcess process =
                new GatewayProcess(
                        TestSettings.withStore(store.port()),
                        new FakeDialect(upstream.port()),
                        new PrintStream(mLog, true, StandardCharsets.UTF_8));
        process.start();
        mCloseables.add(process::stop);
        mCallerPort = process.callerPort();
        awaitReady(process.readinessPort());
        awaitUpstreamListed();
        return upstream;
    }

    /** A ready gateway may not have read the list of upstreams yet. */
    private void awaitUpstreamListed() {
        while (!mLog.toString(StandardCharsets.UTF_8).contains("upstream.listed")) {
            assertThat(Thread.currentThread().isInterrupted()).isFalse();
            Thread.onSpinWait();
        }
    }

    private static boolean respondEmptyPage(String request, Socket socket) throws IOException {
        FakeServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        return true;
    }

    private static void awaitReady(int port) throws IOException {
        String response = "";
        while (!response.startsWith("HTTP/1.1 200")) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                FakeServer.write(socket, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n");
                response = readAll(socket);
            }
        }
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : mCloseables) {
            each.close();
        }
    }

    private static String readAll(Socket socket) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(bytes);
        } catch (IOException e) {
            bytes.writeBytes("(reset)".getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static String request(String route, String id, String body) {
        return "POST /"
                + route
                + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: "
                + id
                + "\r\nConnection: close\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private String send(String route, String id) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mCallerPort)) {
            FakeServer.write(socket, request(route, id, "hello"));
            return readAll(socket);
        }
    }

    private static String requestId(String request) {
        int start = request.indexOf("Id: ") + 4;
        return request.substring(start, request.indexOf('\r', start));
    }

    private static boolean respondOk(String request, Socket socket) throws IOException {
        FakeServer.write(socket, OK.formatted(requestId(request)));
        return true;
    }

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        FakeServer upstream = startGateway(GatewayPathTest::respondOk);
        String response = send("unsafe", "1");
        assertThat(response).startsWith("HTTP/1.1 200 OK").contains("Signed: x").endsWith("body");
        String forwarded = upstream.requests().take();
        assertThat(forwarded).startsWith("POST /unsafe/x HTTP/1.1\r\n").endsWith("\r\n\r\nhello");
        assertThat(forwarded)
                .contains("Id: 1\r\n")
                .contains("Left: ")
                .doesNotContain("Connection:");
    }

    /** The placement must be logged early: an instance killed later logs no end of the request. */
    @Test
    void logsThePlacementBeforeTheResponseArrives() throws Exception {
        startGateway(
                (request, socket) -> {
                    while (!mLog.toString(StandardCharsets.UTF_8).contains("request.placed")) {
                        Thread.onSpinWait();
                    }
                    return respondOk(request, socket);
                });
        assertThat(send("unsafe", "1")).endsWith("body");
        assertThat(mLog.toString(StandardCharsets.UTF_8).lines())
                .filteredOn(line -> line.contains("request.placed"))
                .singleElement()
                .asString()
                .contains("\"request\":\"1\"", "\"upstream\":", "\"attempt\":1");
    }

    @Test
    void closesAConnectionWithBytesAfterACompleteResponse() throws Exception {
        FakeServer upstream =
                startGateway(
                        (request, socket) -> {
                            FakeServer.write(
                                    socket, OK.formatted(requestId(request)) + "HTTP/1.1 200 OK");
                            return true;
                        });
        assertThat(send("unsafe", "1")).endsWith("body");
        assertThat(upstream.closedConnections().poll(10, TimeUnit.SECONDS)).isNotNull();
        assertThat(send("unsafe", "2")).endsWith("body");
    }

    @Test
    void skipsAResponseToAnotherRequest() throws Exception {
        startGateway(
                (request, socket) -> {
                    FakeServer.write(socket, OK.formatted("other").replace("body", "evil"));
                    return respondOk(request, socket);
                });
        assertThat(send("unsafe", "1")).endsWith("body").doesNotContain("evil");
    }

    @Test
    void doesNotTreatAResetAsTheEndOfABodyWithoutLength() throws Exception {
        startGateway(
                (request, socket) -> {
                    FakeServer.write(
                            socket,
                            "HTTP/1.1 200 OK\r\nId: "
                                    + requestId(request)
                                    + "\r\nSigned: x\r\n\r\nhal");
                    FakeServer.reset(socket);
                    return false;
                });
        assertThat(send("unsafe", "1")).startsWith("HTTP/1.1 502").doesNotContain("hal");
    }

    @Test
    void treatsConnectionCloseAsTheEndOfABodyWithoutLength() throws Exception {
        startGateway(
                (request, socket) -> {
                    FakeServer.write(
                            socket,
                            "HTTP/1.1 200 OK\r\nId: "
                                    + requestId(request)
                                    + "\r\nSigned: x\r\n\r\nall");
                    return false;
                });
        assertThat(send("unsafe", "1")).startsWith("HTTP/1.1 200").endsWith("all");
    }

    @Test
    void neverSendsAnUnsafeRequestTwice() throws Exception {
        FakeServer upstream =
                startGateway(
                        (request, socket) -> {
                            FakeServer.reset(socket);
                            return false;
                        });
        assertThat(send("unsafe", "1")).startsWith("HTTP/1.1 502");
        assertThat(upstream.requests()).hasSize(1);
    }

    @Test
    void retriesASafeRequestWhoseConnectionWasLost() throws Exception {
        FakeServer upstream =
                startGateway(
                        (request, socket) -> {
                            if (request.contains("Id: lost")) {
                                FakeServer.reset(socket);
                                return false;
                            }
                            return respondOk(request, socket);
                        });
        assertThat(send("safe", "lost")).startsWith("HTTP/1.1 502");
        assertThat(upstream.requests()).hasSize(2);
    }

    @Test
    void respondsBadGatewayToA503WithoutANotRunStatement() throws Exception {
        startGateway(
                (request, socket) -> {
                    FakeServer.write(
                            socket,
                            "HTTP/1.1 503 Busy\r\nId: "
                                    + requestId(request)
                                    + "\r\nContent-Length: 0\r\n\r\n");
                    return true;
                });
        assertThat(send("unsafe", "1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void doesNotRelayASuccessWithoutASignature() throws Exception {
        startGateway(
                (request, socket) -> {
                    FakeServer.write(
                            socket, OK.formatted(requestId(request)).replace("Signed: x\r\n", ""));
                    return true;
                });
        assertThat(send("unsafe", "1")).startsWith("HTTP/1.1 502").doesNotContain("body");
    }

    @Test
    void resumesAStreamThatBrokeInsideAnEvent() throws Exception {
        FakeServer upstream =
                startGateway(
                        (request, socket) -> {
                            FakeServer.write(socket, STREAM.formatted(requestId(request)));
                            if (request.contains("After: 1")) {
                                FakeServer.write(socket, "e\r\nid: 2\ndata:b\n\n\r\n0\r\n\r\n");
                                return true;
                            }
                            FakeServer.write(socket, "14\r\nid: 1\ndata:a\n\nid: 2\n\r\n");
                            FakeServer.reset(socket);
                            return false;
                        });
        String response = send("stream", "1");
        assertThat(response).contains("id: 1\ndata:a\n\n").endsWith("0\r\n\r\n");
        assertThat(response.split("id: 2", -1)).hasSize(2);
        assertThat(upstream.requests()).hasSize(2);
    }

    /** A crash right after the head looks like the end of a response without length. */
    @Test
    void retriesAStreamWithoutLengthThatEndsBeforeItsFirstEvent() throws Exception {
        FakeServer upstream = startGateway((request, socket) -> endWithoutLength(socket, request));
        assertThat(send("stream", "1")).startsWith("HTTP/1.1 502");
        assertThat(upstream.requests()).hasSize(2);
    }

    private static boolean endWithoutLength(Socket socket, String request) throws IOException {
        FakeServer.write(
                socket, "HTTP/1.1 200 OK\r\nId: " + requestId(request) + "\r\nSigned: x\r\n\r\n");
        return false;
    }

    @Test
    void doesNotRelayAnEmptyBodyWithoutLength() throws Exception {
        startGateway((request, socket) -> endWithoutLength(socket, request));
        assertThat(send("unsafe", "1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void relaysAResponseThatHasNoBody() throws Exception {
        startGateway(
                (request, socket) -> {
                    FakeServer.write(
                            socket,
                            "HTTP/1.1 204 No Content\r\nId: "
                                    + requestId(request)
                                    + "\r\nSigned: x\r\n\r\n");
                    return true;
                });
        assertThat(send("unsafe", "1")).startsWith("HTTP/1.1 204");
    }

    @Test
    void relaysAStreamWithoutLengthThatEndsAfterAnEvent() throws Exception {
        startGateway(
                (request, socket) -> {
                    endWithoutLength(socket, request);
                    FakeServer.write(socket, "id: 1\ndata:a\n\n");
                    return false;
                });
        assertThat(send("stream", "1")).contains("id: 1\ndata:a\n\n").endsWith("0\r\n\r\n");
    }

    @Test
    void resumesAStreamWithoutLengthThatEndsInsideAnEvent() throws Exception {
        FakeServer upstream =
                startGateway(
                        (request, socket) -> {
                            endWithoutLength(socket, request);
                            FakeServer.write(
                                    socket,
                                    request.contains("After: 1")
                                            ? "id: 2\ndata:b\n\n"
                                            : "id: 1\ndata:a\n\nid: 2\nda");
                            return false;
                        });
        assertThat(send("stream", "1")).contains("id: 2\ndata:b\n\n").endsWith("0\r\n\r\n");
        assertThat(upstream.requests()).hasSize(2);
    }

    /** An event that never ends must not exhaust memory; the stream resumes in a new attempt. */
    @Test
    void resumesAStreamAfterAnOversizedEvent() throws Exception {
        String endless = "x".repeat(2 << 20);
        FakeServer upstream =
                startGateway(
                        (request, socket) -> {
                            FakeServer.write(socket, STREAM.formatted(requestId(request)));
                            if (request.contains("After: 1")) {
                                FakeServer.write(socket, "e\r\nid: 2\ndata:b\n\n\r\n0\r\n\r\n");
                                return true;
                            }
                            FakeServer.write(socket, "e\r\nid: 1\ndata:a\n\n\r\n200000\r\n");
                            FakeServer.write(socket, endless);
                            return true;
                        });
        assertThat(send("stream", "1")).contains("id: 2\ndata:b\n\n").endsWith("0\r\n\r\n");
        assertThat(upstream.requests()).hasSize(2);
    }

    @Test
    void cancelsTheAttemptWhenTheCallerDisconnects() throws Exception {
        FakeServer upstream =
                startGateway(
                        (request, socket) -> {
                            FakeServer.write(
                                    socket,
                                    STREAM.formatted(requestId(request))
                                            + "e\r\nid: 1\ndata:a\n\n\r\n");
                            return true;
                        });
        try (Socket socket = new Socket("127.0.0.1", mCallerPort)) {
            FakeServer.write(socket, request("stream", "1", ""));
            assertThat(socket.getInputStream().read()).isEqualTo('H');
        }
        assertThat(upstream.closedConnections().poll(10, TimeUnit.SECONDS)).isNotNull();
    }

    @Test
    void rejectsABodyAboveTheConfiguredLimit() throws Exception {
        FakeServer upstream = startGateway(GatewayPathTest::respondOk);
        try (Socket socket = new Socket("127.0.0.1", mCallerPort)) {
            FakeServer.write(socket, request("unsafe", "1", "x".repeat(4_097)));
            assertThat(socket.getInputStream().readNBytes(12))
                    .asString(StandardCharsets.ISO_8859_1)
                    .isEqualTo("HTTP/1.1 413");
        }
        assertThat(upstream.requests()).isEmpty();
    }

    @Test
    void respondsNotFoundWithoutARoute() throws Exception {
        startGateway(GatewayPathTest::respondOk);
        assertThat(send("nowhere", "1")).startsWith("HTTP/1.1 404");
    }

    /** Guards against requests above a rate limit; the limit of 0 leaves room for probes only. */
    @Test
    void refusesAtOnceWhatARateLimitLeavesNoRoomFor() throws Exception {
        FakeServer upstream =
                startGateway(
                        (request, socket) -> {
                            String limited = OK.replaceFirst("\r\n", "\r\nRate-Limit: 0\r\n");
                            FakeServer.write(socket, limited.formatted(requestId(request)));
                            return true;
                        });
        assertThat(send("unsafe", "1")).endsWith("body").contains("Rate-Limit: 0");
        assertThat(send("unsafe", "2")).startsWith("HTTP/1.1 429").contains("retry-after");
        assertThat(upstream.requests()).hasSize(1);
        awaitLogged("\"cause\":\"rate-limited\"");
        awaitLogged("\"kind\":\"upstream.rate-limited\",\"upstream\":\"u0\"");
        awaitLogged("\"evidence\":\"request 1\"");
    }

    /** Lines are written in batches, so they may appear after the response. */
    private void awaitLogged(String text) {
        while (!mLog.toString(StandardCharsets.UTF_8).contains(text)) {
            // Lets the timeout of the test end it.
            assertThat(Thread.currentThread().isInterrupted()).as(text).isFalse();
            Thread.onSpinWait();
        }
    }
}
