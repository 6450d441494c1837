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

/** The data path against peers on loopback that misbehave on purpose. */
@Timeout(60)
final class GatewayPathTest {
    private static final String OK =
            "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: 4\r\n\r\nbody";
    private static final String STREAM =
            "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final List<AutoCloseable> mOpen = new ArrayList<>();
    private final ByteArrayOutputStream mLog = new ByteArrayOutputStream();
    private int mCallerPort;

    private FakeServer gateway(FakeServer.Script script) throws Exception {
        FakeServer upstream = new FakeServer(script);
        FakeServer store = new FakeServer(GatewayPathTest::emptyPage);
        mOpen.add(upstream);
        mOpen.add(store);
        GatewayProcess process =
                new GatewayProcess(
                        TestSettings.withStore(store.port()),
                        new FakeDialect(upstream.port()),
                        new PrintStream(mLog, true, StandardCharsets.UTF_8));
        process.start();
        mOpen.add(process::stop);
        mCallerPort = process.callerPort();
        awaitReady(process.readinessPort());
        return upstream;
    }

    private static boolean emptyPage(String request, Socket socket) throws IOException {
        FakeServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        return true;
    }

    private static void awaitReady(int port) throws IOException {
        String answer = "";
        while (!answer.startsWith("HTTP/1.1 200")) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                FakeServer.write(socket, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n");
                answer = read(socket);
            }
        }
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : mOpen) {
            each.close();
        }
    }

    private static String read(Socket socket) throws IOException {
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

    private String call(String route, String id) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mCallerPort)) {
            FakeServer.write(socket, request(route, id, "hello"));
            return read(socket);
        }
    }

    private static String id(String request) {
        int start = request.indexOf("Id: ") + 4;
        return request.substring(start, request.indexOf('\r', start));
    }

    private static boolean answerOk(String request, Socket socket) throws IOException {
        FakeServer.write(socket, OK.formatted(id(request)));
        return true;
    }

    @Test
    void passesRequestAndAnswerOnUnchanged() throws Exception {
        FakeServer upstream = gateway(GatewayPathTest::answerOk);
        String answer = call("unsafe", "1");
        assertThat(answer).startsWith("HTTP/1.1 200 OK").contains("Signed: x").endsWith("body");
        String seen = upstream.requests().take();
        assertThat(seen).startsWith("POST /unsafe/x HTTP/1.1\r\n").endsWith("\r\n\r\nhello");
        assertThat(seen).contains("Id: 1\r\n").contains("Left: ").doesNotContain("Connection:");
    }

    /** An instance that is killed then says nothing more of the request. */
    @Test
    void saysWhereARequestWentBeforeItsAnswerComes() throws Exception {
        gateway(
                (request, socket) -> {
                    while (!mLog.toString(StandardCharsets.UTF_8).contains("request.placed")) {
                        Thread.onSpinWait();
                    }
                    return answerOk(request, socket);
                });
        assertThat(call("unsafe", "1")).endsWith("body");
        assertThat(mLog.toString(StandardCharsets.UTF_8).lines())
                .filteredOn(line -> line.contains("request.placed"))
                .singleElement()
                .asString()
                .contains("\"request\":\"1\"", "\"upstream\":", "\"attempt\":1");
    }

    @Test
    void dropsAConnectionWithBytesAfterAWholeAnswer() throws Exception {
        FakeServer upstream =
                gateway(
                        (request, socket) -> {
                            FakeServer.write(socket, OK.formatted(id(request)) + "HTTP/1.1 200 OK");
                            return true;
                        });
        assertThat(call("unsafe", "1")).endsWith("body");
        assertThat(upstream.closedConnections().poll(10, TimeUnit.SECONDS)).isNotNull();
        assertThat(call("unsafe", "2")).endsWith("body");
    }

    @Test
    void skipsAnAnswerToAnotherRequest() throws Exception {
        gateway(
                (request, socket) -> {
                    FakeServer.write(socket, OK.formatted("other").replace("body", "evil"));
                    return answerOk(request, socket);
                });
        assertThat(call("unsafe", "1")).endsWith("body").doesNotContain("evil");
    }

    @Test
    void doesNotTakeAResetForTheEndOfABodyWithoutLength() throws Exception {
        gateway(
                (request, socket) -> {
                    FakeServer.write(
                            socket,
                            "HTTP/1.1 200 OK\r\nId: " + id(request) + "\r\nSigned: x\r\n\r\nhal");
                    FakeServer.reset(socket);
                    return false;
                });
        assertThat(call("unsafe", "1")).startsWith("HTTP/1.1 502").doesNotContain("hal");
    }

    @Test
    void takesTheEndOfTheConnectionForTheEndOfABodyWithoutLength() throws Exception {
        gateway(
                (request, socket) -> {
                    FakeServer.write(
                            socket,
                            "HTTP/1.1 200 OK\r\nId: " + id(request) + "\r\nSigned: x\r\n\r\nall");
                    return false;
                });
        assertThat(call("unsafe", "1")).startsWith("HTTP/1.1 200").endsWith("all");
    }

    @Test
    void neverSendsAnUnsafeRequestTwice() throws Exception {
        FakeServer upstream =
                gateway(
                        (request, socket) -> {
                            FakeServer.reset(socket);
                            return false;
                        });
        assertThat(call("unsafe", "1")).startsWith("HTTP/1.1 502");
        assertThat(upstream.requests()).hasSize(1);
    }

    @Test
    void repeatsASafeRequestThatWasLost() throws Exception {
        FakeServer upstream =
                gateway(
                        (request, socket) -> {
                            if (request.contains("Id: lost")) {
                                FakeServer.reset(socket);
                                return false;
                            }
                            return answerOk(request, socket);
                        });
        assertThat(call("safe", "lost")).startsWith("HTTP/1.1 502");
        assertThat(upstream.requests()).hasSize(2);
    }

    @Test
    void makesNoPromiseForAnUpstreamThatMakesNone() throws Exception {
        gateway(
                (request, socket) -> {
                    FakeServer.write(
                            socket,
                            "HTTP/1.1 503 Busy\r\nId: "
                                    + id(request)
                                    + "\r\nContent-Length: 0\r\n\r\n");
                    return true;
                });
        assertThat(call("unsafe", "1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void doesNotPassOnASuccessWithoutASignature() throws Exception {
        gateway(
                (request, socket) -> {
                    FakeServer.write(socket, OK.formatted(id(request)).replace("Signed: x\r\n", ""));
                    return true;
                });
        assertThat(call("unsafe", "1")).startsWith("HTTP/1.1 502").doesNotContain("body");
    }

    @Test
    void resumesAStreamThatWasCutInTheMiddleOfAnEvent() throws Exception {
        FakeServer upstream =
                gateway(
                        (request, socket) -> {
                            FakeServer.write(socket, STREAM.formatted(id(request)));
                            if (request.contains("After: 1")) {
                                FakeServer.write(socket, "e\r\nid: 2\ndata:b\n\n\r\n0\r\n\r\n");
                                return true;
                            }
                            FakeServer.write(socket, "14\r\nid: 1\ndata:a\n\nid: 2\n\r\n");
                            FakeServer.reset(socket);
                            return false;
                        });
        String answer = call("stream", "1");
        assertThat(answer).contains("id: 1\ndata:a\n\n").endsWith("0\r\n\r\n");
        assertThat(answer.split("id: 2", -1)).hasSize(2);
        assertThat(upstream.requests()).hasSize(2);
    }

    /** Bytes without end in an event must not fill the memory. */
    @Test
    void resumesAStreamElsewhereWhoseEventHasNoEnd() throws Exception {
        String endless = "x".repeat(2 << 20);
        FakeServer upstream =
                gateway(
                        (request, socket) -> {
                            FakeServer.write(socket, STREAM.formatted(id(request)));
                            if (request.contains("After: 1")) {
                                FakeServer.write(socket, "e\r\nid: 2\ndata:b\n\n\r\n0\r\n\r\n");
                                return true;
                            }
                            FakeServer.write(socket, "e\r\nid: 1\ndata:a\n\n\r\n200000\r\n");
                            FakeServer.write(socket, endless);
                            return true;
                        });
        assertThat(call("stream", "1")).contains("id: 2\ndata:b\n\n").endsWith("0\r\n\r\n");
        assertThat(upstream.requests()).hasSize(2);
    }

    @Test
    void cancelsTheAttemptOfACallerThatLeaves() throws Exception {
        FakeServer upstream =
                gateway(
                        (request, socket) -> {
                            FakeServer.write(
                                    socket,
                                    STREAM.formatted(id(request)) + "e\r\nid: 1\ndata:a\n\n\r\n");
                            return true;
                        });
        try (Socket socket = new Socket("127.0.0.1", mCallerPort)) {
            FakeServer.write(socket, request("stream", "1", ""));
            assertThat(socket.getInputStream().read()).isEqualTo('H');
        }
        assertThat(upstream.closedConnections().poll(10, TimeUnit.SECONDS)).isNotNull();
    }

    @Test
    void rejectsABodyOverTheLimitOfTheConfiguration() throws Exception {
        FakeServer upstream = gateway(GatewayPathTest::answerOk);
        try (Socket socket = new Socket("127.0.0.1", mCallerPort)) {
            FakeServer.write(socket, request("unsafe", "1", "x".repeat(4_097)));
            assertThat(socket.getInputStream().readNBytes(12))
                    .asString(StandardCharsets.ISO_8859_1)
                    .isEqualTo("HTTP/1.1 413");
        }
        assertThat(upstream.requests()).isEmpty();
    }

    @Test
    void answersWhatHasNoRoute() throws Exception {
        gateway(GatewayPathTest::answerOk);
        assertThat(call("nowhere", "1")).startsWith("HTTP/1.1 404");
    }
}
