package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.magnoliapick.gateway.internal.GatewayProcess;
import org.magnoliapick.lib.InstanceId;

/**
 * Gateways i0, i1, ... on loopback addresses that share the upstreams u0, u1, ...; the first
 * gateway is the dispatcher.
 */
final class GatewayFleet implements AutoCloseable {
    private final List<FakeServer> mUpstreams = new ArrayList<>();
    private final List<ByteArrayOutputStream> mLogs = new ArrayList<>();
    private final List<Integer> mCallerPorts = new ArrayList<>();
    private final List<AutoCloseable> mCloseables = new ArrayList<>();

    /** How far the gateways' clock is ahead of the real one. */
    private final AtomicLong mClockLeadMillis = new AtomicLong();

    /** Responds to the requests of an upstream; returns whether the connection stays open. */
    interface Script {
        boolean respond(int upstream, String request, Socket socket) throws IOException;
    }

    GatewayFleet(int gateways, int upstreams, Script script) throws Exception {
        for (int i = 0; i < upstreams; i++) {
            int number = i;
            mUpstreams.add(
                    new FakeServer((request, socket) -> script.respond(number, request, socket)));
        }
        FakeServer store =
                new FakeServer(
                        (request, socket) -> {
                            FakeServer.write(
                                    socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                            return true;
                        });
        mCloseables.addAll(mUpstreams);
        mCloseables.add(store);
        int peerPort = freePeerPort();
        for (int i = 0; i < gateways; i++) {
            startGateway(i, gateways, store.port(), peerPort);
        }
        for (int i = 0; i < gateways; i++) {
            awaitLogged(i, "config.in-force");
            for (int upstream = 0; upstream < upstreams; upstream++) {
                awaitLogged(i, "\"kind\":\"upstream.listed\",\"upstream\":\"u" + upstream + "\"");
            }
            if (i > 0) {
                awaitLogged(i, "\"kind\":\"dispatcher.changed\",\"to\":\"i0\"");
            }
        }
    }

    private static int freePeerPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(peerHost(0)))) {
            return socket.getLocalPort();
        }
    }

    private static String peerHost(int gateway) {
        return "127.0.0." + (gateway + 1);
    }

    private void startGateway(int number, int gateways, int storePort, int peerPort)
            throws Exception {
        GatewaySettings common = TestSettings.withStore(storePort);
        GatewaySettings settings =
                new GatewaySettings(
                        new InstanceId("i" + number),
                        common.domain(),
                        common.callerAddress(),
                        common.readinessAddress(),
                        common.readinessPath(),
                        common.controlAddress(),
                        new AddressPort(peerHost(number), peerPort),
                        IntStream.range(0, gateways)
                                .filter(other -> other != number)
                                .mapToObj(other -> new AddressPort(peerHost(other), peerPort))
                                .toList(),
                        common.storeAddress(),
                        common.retryBudget(),
                        common.shareWindowMillis(),
                        common.stopGraceMillis(),
                        // The strongest machine is the dispatcher.
                        number == 0 ? 4_000 : 1_000,
                        common.promptClasses(),
                        common.bounds(),
                        common.admission(),
                        common.maxDescriptors());
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        mLogs.add(log);
        Integer[] ports = mUpstreams.stream().map(FakeServer::port).toArray(Integer[]::new);
        GatewayProcess process =
                new GatewayProcess(
                        settings,
                        new FakeDialect(ports),
                        new PrintStream(log, true, StandardCharsets.UTF_8),
                        () -> System.nanoTime() / 1_000_000 + mClockLeadMillis.get());
        process.start();
        mCloseables.add(process::close);
        mCallerPorts.add(process.callerPort());
    }

    /** Sets the gateways' clock ahead. */
    void advanceClock(long millis) {
        mClockLeadMillis.addAndGet(millis);
    }

    /** Returns an upstream. */
    FakeServer upstream(int number) {
        return mUpstreams.get(number);
    }

    /** Returns the connection on which a request was sent to a gateway. */
    Socket open(int gateway, String route, String id) throws IOException {
        Socket socket = new Socket("127.0.0.1", mCallerPorts.get(gateway));
        mCloseables.add(socket);
        FakeServer.write(
                socket,
                "POST /"
                        + route
                        + "/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: "
                        + id
                        + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        return socket;
    }

    /** Sends a request to a gateway and returns the response. */
    String send(int gateway, String route, String id) throws IOException {
        try (Socket socket = open(gateway, route, id)) {
            return readAll(socket);
        }
    }

    /** Returns all that is received on a connection until it ends. */
    static String readAll(Socket socket) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        socket.getInputStream().transferTo(bytes);
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the identifier of a request that an upstream received. */
    static String requestId(String request) {
        int start = request.indexOf("Id: ") + 4;
        return request.substring(start, request.indexOf('\r', start));
    }

    /** Responds to a request with a complete body. */
    static boolean respondOk(String request, Socket socket) throws IOException {
        FakeServer.write(
                socket,
                "HTTP/1.1 200 OK\r\nId: "
                        + requestId(request)
                        + "\r\nSigned: x\r\nContent-Length: 4\r\n\r\nbody");
        return true;
    }

    /** Waits in the script of an upstream. */
    static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for the test", e);
        }
    }

    /** Returns the log of a gateway. */
    String log(int gateway) {
        return mLogs.get(gateway).toString(StandardCharsets.UTF_8);
    }

    /** Waits until a gateway has logged a text. */
    void awaitLogged(int gateway, String text) {
        while (!log(gateway).contains(text)) {
            // Lets the timeout of the test end it.
            assertThat(Thread.currentThread().isInterrupted()).as(text).isFalse();
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable each : mCloseables) {
            each.close();
        }
    }
}
