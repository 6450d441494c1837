package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.RunningGateway.event;
import static org.magnoliapick.gateway.RunningGateway.request;
import static org.magnoliapick.gateway.RunningGateway.response;
import static org.magnoliapick.gateway.RunningGateway.streamHead;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests to the upstreams of a failure domain that is evacuated. */
@Timeout(30)
final class EvacuationPathTest {
    private static final String CONFIG =
            "service s;route safe SAFE s 600000;route unsafe UNSAFE s 600000;"
                    + "route stream STREAM s 600000";
    private static final int REQUESTS = 12;

    private final CountDownLatch mMayBreak = new CountDownLatch(1);
    private RunningGateway mGateway;
    private FakeServer mUpstreamB;
    private FakeServer mUpstreamC;

    /** Starts a gateway with the upstreams {@code ub} and {@code uc} in the domains b and c. */
    private void start() throws Exception {
        mGateway = new RunningGateway(new ConfigDialect(), CONFIG);
        mUpstreamB = new FakeServer(EvacuationPathTest::respond);
        mUpstreamC = new FakeServer(EvacuationPathTest::respond);
        list("b", mUpstreamB);
        list("c", mUpstreamC);
    }

    private void list(String domain, FakeServer upstream) {
        list(mGateway, domain, upstream);
    }

    private static void list(RunningGateway gateway, String domain, FakeServer upstream) {
        gateway.listUpstream("u" + domain, "s " + upstream.port() + " 1 in:" + domain);
    }

    private static boolean respond(String request, Socket socket) throws IOException {
        FakeServer.write(socket, response(request));
        return true;
    }

    @AfterEach
    void close() throws Exception {
        mMayBreak.countDown();
        mGateway.close();
        mUpstreamB.close();
        mUpstreamC.close();
    }

    private void evacuate(String domain) {
        mGateway.append(StoreTopic.CONFIG, "evacuate/" + domain, "{}");
    }

    private void takeBack(String domain) {
        mGateway.append(StoreTopic.CONFIG, "evacuate/" + domain, "");
    }

    /** Waits until a change was logged a number of times since the start. */
    private void awaitLogged(String kind, String domain, int times) {
        String text = "\"kind\":\"domain." + kind + "\",\"domain\":\"" + domain + "\"";
        while (mGateway.log().split(Pattern.quote(text), -1).length <= times) {
            // Lets the timeout of the test end it.
            assertThat(Thread.currentThread().isInterrupted()).as(text).isFalse();
            Thread.onSpinWait();
        }
    }

    private void send(String expected) throws IOException {
        send(mGateway, expected);
    }

    private static void send(RunningGateway gateway, String expected) throws IOException {
        try (Socket socket = gateway.connect()) {
            ResponseReader reader = new ResponseReader(socket);
            for (int i = 0; i < REQUESTS; i++) {
                FakeServer.write(socket, request("unsafe", "r" + i));
                assertThat(reader.next()).startsWith("HTTP/1.1 " + expected);
            }
        }
    }

    private int requestsToB() {
        return mUpstreamB.requests().size();
    }

    private int requestsToC() {
        return mUpstreamC.requests().size();
    }

    @Test
    void sendsNothingThereUntilTheDomainIsTakenBack() throws Exception {
        start();
        evacuate("b");
        awaitLogged("evacuated", "b", 1);
        send("200");
        assertThat(requestsToB()).isZero();
        takeBack("b");
        awaitLogged("restored", "b", 1);
        evacuate("c");
        awaitLogged("evacuated", "c", 1);
        send("200");
        assertThat(requestsToB()).isEqualTo(REQUESTS);
        assertThat(requestsToC()).isEqualTo(REQUESTS);
    }

    /** The route's deadline is ten minutes, far beyond the timeout of the test. */
    @Test
    void rejectsAtOnceWhileTheLastDomainIsEvacuated() throws Exception {
        start();
        evacuate("b");
        evacuate("c");
        awaitLogged("evacuated", "c", 1);
        send("503");
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(socket, request("safe", "1"));
            assertThat(new ResponseReader(socket).next()).contains("retry-after: ");
        }
        mGateway.awaitLogged("\"cause\":\"no-upstream\"");
        assertThat(requestsToB() + requestsToC()).isZero();
        takeBack("b");
        awaitLogged("restored", "b", 1);
        send("200");
        assertThat(requestsToC()).isZero();
    }

    @Test
    void isInForceAfterARestart() throws Exception {
        start();
        evacuate("b");
        awaitLogged("evacuated", "b", 1);
        mGateway.restart();
        mGateway.awaitLogged("\"upstream.listed\",\"upstream\":\"uc\"");
        send("200");
        assertThat(requestsToB()).isZero();
    }

    @Test
    void staysInForceIfTheStoreIsRestoredFromAnOlderCopy() throws Exception {
        start();
        evacuate("b");
        awaitLogged("evacuated", "b", 1);
        mGateway.restoreStore(StoreTopic.CONFIG, 1);
        evacuate("d");
        awaitLogged("evacuated", "d", 1);
        send("200");
        assertThat(requestsToB()).isZero();
        takeBack("b");
        awaitLogged("restored", "b", 1);
    }

    /** Guards against records that are wrong and hide the others, or have an effect on others. */
    @Test
    void ignoresWrongKeysAndUnknownDomains() throws Exception {
        start();
        mGateway.append(StoreTopic.CONFIG, "evacuate/", "{}");
        mGateway.append(StoreTopic.CONFIG, "evacuate/" + "x".repeat(300), "{}");
        mGateway.append(StoreTopic.CONFIG, "evacuate/b", "");
        evacuate("unknown");
        awaitLogged("evacuated", "unknown", 1);
        assertThat(mGateway.log()).contains("\"domain\":\"unknown\",\"upstreams\":0");
        mGateway.configure(CONFIG);
        evacuate("c");
        awaitLogged("evacuated", "c", 1);
        send("200");
        assertThat(requestsToB()).isEqualTo(REQUESTS);
    }

    /** A restarted instance, which knows only the last record, decides alike. */
    @Test
    void evacuatesWhateverTheValueIs() throws Exception {
        start();
        evacuate("b");
        mGateway.append(StoreTopic.CONFIG, "evacuate/b", "{not JSON");
        mGateway.append(StoreTopic.CONFIG, "evacuate/d", "-1");
        awaitLogged("evacuated", "d", 1);
        send("200");
        mGateway.restart();
        mGateway.awaitLogged("\"upstream.listed\",\"upstream\":\"uc\"");
        send("200");
        assertThat(requestsToB()).isZero();
    }

    private boolean breakOff(String request, Socket socket) throws IOException {
        if (request.contains(" /stream/") && !request.contains("After: ")) {
            FakeServer.write(socket, streamHead(request) + event(1));
        }
        try {
            mMayBreak.await();
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for the test", e);
        }
        return false;
    }

    /** Starts a gateway whose only upstream {@code uc} breaks off, and lists another one later. */
    private void startWithBreakingUpstream() throws Exception {
        mGateway = new RunningGateway(new ConfigDialect(), CONFIG);
        mUpstreamC = new FakeServer(this::breakOff);
        list("c", mUpstreamC);
        mUpstreamB =
                new FakeServer(
                        (request, socket) -> {
                            FakeServer.write(
                                    socket,
                                    request.contains(" /stream/")
                                            ? streamHead(request) + event(2) + "0\r\n\r\n"
                                            : response(request));
                            return true;
                        });
    }

    @Test
    void doesNotRetryThere() throws Exception {
        startWithBreakingUpstream();
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(socket, request("safe", "1"));
            assertThat(mUpstreamC.requests().take()).contains("Id: 1");
            list("b", mUpstreamB);
            evacuate("b");
            awaitLogged("evacuated", "b", 1);
            mMayBreak.countDown();
            assertThat(new ResponseReader(socket).next()).startsWith("HTTP/1.1 50");
        }
        assertThat(requestsToB()).isZero();
    }

    @Test
    void resumesAStreamThereOnlyAfterTheDomainIsTakenBack() throws Exception {
        startWithBreakingUpstream();
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(socket, request("stream", "1"));
            assertThat(mUpstreamC.requests().take()).contains("Id: 1");
            list("b", mUpstreamB);
            evacuate("b");
            evacuate("c");
            awaitLogged("evacuated", "c", 1);
            mMayBreak.countDown();
            mGateway.awaitLogged("\"request.resumed\"");
            evacuate("d");
            awaitLogged("evacuated", "d", 1);
            assertThat(requestsToB()).isZero();
            takeBack("b");
            assertThat(new ResponseReader(socket).next()).contains("id: 1\n", "id: 2\n");
        }
        assertThat(mUpstreamB.requests()).singleElement().matches(each -> each.contains("After"));
    }

    /** The stream began before the evacuation; its upstream gets nothing else. */
    @Test
    void letsAStreamInProgressEnd() throws Exception {
        mGateway = new RunningGateway(new ConfigDialect(), CONFIG);
        mUpstreamC = new FakeServer(EvacuationPathTest::respond);
        mUpstreamB =
                new FakeServer(
                        (request, socket) -> {
                            breakOff(request, socket);
                            FakeServer.write(socket, event(2) + "0\r\n\r\n");
                            return true;
                        });
        list("b", mUpstreamB);
        try (Socket socket = mGateway.connect()) {
            FakeServer.write(socket, request("stream", "1"));
            assertThat(mUpstreamB.requests().take()).contains("Id: 1");
            evacuate("b");
            awaitLogged("evacuated", "b", 1);
            list("c", mUpstreamC);
            send("200");
            mMayBreak.countDown();
            assertThat(new ResponseReader(socket).next()).contains("id: 2\n").endsWith("0\r\n\r\n");
        }
        assertThat(requestsToB()).isZero();
        assertThat(mUpstreamC.requests()).noneMatch(each -> each.contains("/stream/"));
    }

    /** The second gateway, which is cut off, is the dispatcher if it is the stronger machine. */
    @ParameterizedTest
    @ValueSource(ints = {250, 4_000})
    void anInstanceThatIsCutOffFromTheStoreLearnsItFromAnother(int milliCores) throws Exception {
        int port;
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        AddressPort first = new AddressPort("127.0.0.1", port);
        AddressPort second = new AddressPort("127.0.0.2", port);
        mUpstreamB = new FakeServer(EvacuationPathTest::respond);
        mUpstreamC = new FakeServer(EvacuationPathTest::respond);
        mGateway =
                new RunningGateway(
                        new ConfigDialect(),
                        CONFIG,
                        port0 ->
                                TestSettings.withPeers(port0, "i0", first, List.of(second), 1_000));
        list("b", mUpstreamB);
        list("c", mUpstreamC);
        try (RunningGateway cutOff =
                mGateway.startAnother(
                        port1 ->
                                TestSettings.withPeers(
                                        port1, "i1", second, List.of(first), milliCores))) {
            cutOff.awaitLogged("\"upstream.listed\",\"upstream\":\"uc\"");
            (milliCores > 1_000 ? mGateway : cutOff)
                    .awaitLogged(
                            "\"dispatcher.changed\",\"to\":\""
                                    + (milliCores > 1_000 ? "i1" : "i0"));
            cutOff.loseStore();
            evacuate("b");
            cutOff.awaitLogged("\"evidence\":\"instance i0\"");
            send(cutOff, "200");
            send("200");
            assertThat(requestsToB()).isZero();
            takeBack("b");
            cutOff.awaitLogged("\"kind\":\"domain.restored\",\"domain\":\"b\"");
            evacuate("c");
            cutOff.awaitLogged("\"kind\":\"domain.evacuated\",\"domain\":\"c\"");
            int before = requestsToC();
            send(cutOff, "200");
            assertThat(requestsToB()).isEqualTo(REQUESTS);
            assertThat(requestsToC()).isEqualTo(before);
        }
    }
}
