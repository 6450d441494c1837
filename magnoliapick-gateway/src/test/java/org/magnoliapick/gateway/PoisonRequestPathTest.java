package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliapick.gateway.internal.GatewayProcess;

/** Guards against requests that crash each upstream that begins to answer them. */
@Timeout(20)
final class PoisonRequestPathTest {
    private static final int UPSTREAMS = 8;

    private static final String STREAM_START =
            "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String PLAIN_ANSWER =
            "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: 2\r\n\r\nok";
    private static final String EVENT = "e\r\nid: 1\ndata:a\n\n\r\n";
    private static final String PARTIAL_EVENT = "7\r\nid: 1\nd\r\n";
    private static final String END = "0\r\n\r\n";

    private final ByteArrayOutputStream mLog = new ByteArrayOutputStream();

    /** How far the gateway's clock is ahead of the real one. */
    private final AtomicLong mClockLeadMillis = new AtomicLong();

    private final List<FakeServer> mUpstreams = new ArrayList<>();
    private final Set<String> mCrashed = ConcurrentHashMap.newKeySet();
    private final List<AutoCloseable> mCloseables = new ArrayList<>();
    private final AtomicInteger mReset = new AtomicInteger();
    private int mCallerPort;

    @BeforeEach
    void start() throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            int number = i;
            FakeServer upstream =
                    new FakeServer((request, socket) -> respond(number, request, socket));
            mUpstreams.add(upstream);
            mCloseables.add(upstream);
            ports.add(upstream.port());
        }
        FakeServer store =
                new FakeServer(
                        (request, socket) -> {
                            FakeServer.write(
                                    socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                            return true;
                        });
        mCloseables.add(store);
        GatewayProcess process =
                new GatewayProcess(
                        TestSettings.withStore(store.port()),
                        new FakeDialect(ports.toArray(new Integer[0])),
                        new PrintStream(mLog, true, StandardCharsets.UTF_8),
                        () -> System.nanoTime() / 1_000_000 + mClockLeadMillis.get());
        process.start();
        mCloseables.add(process::stop);
        mCallerPort = process.callerPort();
        for (int i = 0; i < UPSTREAMS; i++) {
            awaitLogged("\"upstream\":\"u" + i + "\"");
        }
        awaitLogged("config.in-force");
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : mCloseables) {
            each.close();
        }
    }

    private void awaitLogged(String text) {
        while (!log().contains(text)) {
            // Lets the timeout of the test end it.
            assertThat(Thread.currentThread().isInterrupted()).as(text + " in " + log()).isFalse();
            Thread.onSpinWait();
        }
    }

    private String log() {
        return mLog.toString(StandardCharsets.UTF_8);
    }

    private boolean respond(int number, String request, Socket socket) throws IOException {
        int start = request.indexOf("Id: ") + 4;
        String id = request.substring(start, request.indexOf('\r', start));
        if (!request.contains("/stream/")) {
            return respondPlain(number, request, id, socket);
        }
        FakeServer.write(socket, STREAM_START.formatted(id));
        if (request.contains("deadly")) {
            crash(number);
            return false;
        }
        if (request.contains("reset")) {
            mReset.incrementAndGet();
            FakeServer.reset(socket);
            return false;
        }
        if (request.contains("bad")) {
            FakeServer.write(socket, PARTIAL_EVENT);
            crash(number);
            return false;
        }
        FakeServer.write(socket, EVENT + END);
        return true;
    }

    private boolean respondPlain(int number, String request, String id, Socket socket)
            throws IOException {
        if (request.contains("deadly")) {
            crash(number);
            return false;
        }
        FakeServer.write(socket, PLAIN_ANSWER.formatted(id));
        return true;
    }

    private void crash(int number) throws IOException {
        mCrashed.add("u" + number);
        mUpstreams.get(number).close();
    }

    private String send(String id, String parts) throws IOException {
        return send("/stream/x", id, parts, "");
    }

    private String send(String path, String id, String parts, String body) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mCallerPort)) {
            FakeServer.write(
                    socket,
                    "POST "
                            + path
                            + " HTTP/1.1\r\nHost: 127.0.0.1\r\nId: "
                            + id
                            + "\r\nParts: "
                            + parts
                            + "\r\nConnection: close\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(bytes);
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }
    }

    /** Such as surplus connections, which a busy upstream resets. */
    @Test
    void doesNotSuspectRequestsWhoseConnectionsAreReset() throws Exception {
        for (int i = 0; i < 6; i++) {
            send("lost-" + i, "first,reset,own-" + i);
            mClockLeadMillis.addAndGet(3_000);
        }
        assertThat(mReset.get()).isGreaterThanOrEqualTo(6);
        // Each upstream accepts the connection that checks whether it crashed.
        for (FakeServer upstream : mUpstreams) {
            while (!upstream.requests().isEmpty()
                    && upstream.connectionCount() <= upstream.requests().size()) {
                assertThat(Thread.currentThread().isInterrupted()).isFalse();
                Thread.onSpinWait();
            }
        }
        assertThat(log()).doesNotContain("prompt.suspected");
    }

    @Test
    void refusesARequestThatCrashesItsUpstreams() throws Exception {
        String response = "";
        for (int i = 0; !response.contains("quarantined"); i++) {
            response = send("bad-" + i, "first,bad,own-" + i);
            // The evidence lists each crashed upstream, a slash and its requests.
            mCrashed.forEach(each -> awaitLogged(each + "/"));
            mClockLeadMillis.addAndGet(3_000);
        }
        assertThat(mCrashed).hasSizeLessThanOrEqualTo(5);
        assertThat(response).startsWith("HTTP/1.1 503").contains("retry-after: ");
        assertThat(send("sound", "first,other,own")).startsWith("HTTP/1.1 200").endsWith(END);
        awaitLogged("\"kind\":\"prompt.quarantined\",\"service\":\"s\",\"part\":\"bad\"");
        awaitLogged("\"cause\":\"quarantined\"");
    }

    /** Repetitions of one request crash what runs it; another request on its path is sound. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x"})
    void refusesRepetitionsOfARequestThatCrashesItsUpstreams(String path) throws Exception {
        String response = "";
        for (int i = 0; !response.contains("quarantined"); i++) {
            response = send(path, "deadly-" + i, "", "deadly");
            mCrashed.forEach(each -> awaitLogged(each + "/"));
            mClockLeadMillis.addAndGet(3_000);
        }
        assertThat(mCrashed).hasSizeLessThanOrEqualTo(5);
        assertThat(response).startsWith("HTTP/1.1 503").contains("retry-after: ");
        assertThat(send(path, "sound", "", "sound")).startsWith("HTTP/1.1 200");
        awaitLogged("\"kind\":\"fingerprint.quarantined\",\"service\":\"s\",\"fingerprint\":");
        awaitLogged("\"cause\":\"quarantined\"");
    }

    /** Guards against attempts that follow each other at once and are taken for one crash. */
    @Test
    void refusesARequestWhoseCallerRepeatedItAtOnce() throws Exception {
        send("/safe/x", "deadly-1", "", "deadly");
        send("/safe/x", "deadly-2", "", "deadly");
        mCrashed.forEach(each -> awaitLogged(each + "/"));
        assertThat(mCrashed).hasSizeBetween(3, 4);
        mClockLeadMillis.addAndGet(3_000);
        assertThat(send("/safe/x", "deadly-3", "", "deadly"))
                .startsWith("HTTP/1.1 503")
                .contains("quarantined");
        assertThat(send("/safe/x", "sound", "", "sound")).startsWith("HTTP/1.1 200");
    }
}
