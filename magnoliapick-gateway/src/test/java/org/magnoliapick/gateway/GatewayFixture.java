package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.magnoliapick.gateway.internal.GatewayProcess;

/** A whole gateway on loopback addresses, with upstreams that follow scripts. */
final class GatewayFixture implements AutoCloseable {
    private final ByteArrayOutputStream mLog = new ByteArrayOutputStream();
    private final List<FakeServer> mUpstreams = new ArrayList<>();
    private final FakeServer mStore;
    private final GatewayProcess mProcess;

    /** Starts a gateway and an upstream for each script; returns once all of them are listed. */
    GatewayFixture(FakeServer.Script... scripts) throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (FakeServer.Script script : scripts) {
            mUpstreams.add(new FakeServer(script));
            ports.add(mUpstreams.get(mUpstreams.size() - 1).port());
        }
        mStore =
                new FakeServer(
                        (request, socket) -> {
                            FakeServer.write(
                                    socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                            return true;
                        });
        mProcess =
                new GatewayProcess(
                        TestSettings.withStore(mStore.port()),
                        new FakeDialect(ports.toArray(new Integer[0])),
                        new PrintStream(mLog, true, StandardCharsets.UTF_8));
        mProcess.start();
        for (int i = 0; i < ports.size(); i++) {
            awaitLogged("\"upstream\":\"u" + i + "\"");
        }
        awaitLogged("config.in-force");
    }

    /** Returns an upstream by the position of its script. */
    FakeServer upstream(int index) {
        return mUpstreams.get(index);
    }

    /** Returns the number of requests that all upstreams received. */
    int upstreamRequests() {
        return mUpstreams.stream().mapToInt(each -> each.requests().size()).sum();
    }

    /** Opens a connection to the gateway. */
    Socket connect() throws IOException {
        return new Socket("127.0.0.1", mProcess.callerPort());
    }

    /** Sends a request on a connection of its own; returns all bytes until that is closed. */
    String send(String route, String id) throws IOException {
        try (Socket socket = connect()) {
            FakeServer.write(
                    socket,
                    "POST /"
                            + route
                            + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: "
                            + id
                            + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            return readAll(socket);
        }
    }

    /** Returns all bytes until a connection is closed. */
    static String readAll(Socket socket) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(bytes);
        } catch (IOException e) {
            bytes.writeBytes("(reset)".getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the identifier of a request as an upstream received it. */
    static String requestId(String request) {
        int start = request.indexOf("Id: ") + 4;
        return request.substring(start, request.indexOf('\r', start));
    }

    /** Waits until the log contains a text; lines are written in batches. */
    void awaitLogged(String text) {
        while (!log().contains(text)) {
            // Lets the timeout of the test end it.
            assertThat(Thread.currentThread().isInterrupted()).as(text + " in " + log()).isFalse();
            Thread.onSpinWait();
        }
    }

    String log() {
        return mLog.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws Exception {
        mProcess.close();
        mStore.close();
        for (FakeServer each : mUpstreams) {
            each.close();
        }
    }
}
