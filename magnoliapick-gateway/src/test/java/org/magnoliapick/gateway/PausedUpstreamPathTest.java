package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests to upstreams that asked for a pause when they refused one. */
@Timeout(30)
final class PausedUpstreamPathTest {
    private static final int REQUESTS = 12;

    /** The requests that a gateway sends to one upstream at a time. */
    private static final int MAX_RUNNING = 6;

    private final AtomicInteger mRefused = new AtomicInteger(-1);
    private final CountDownLatch mMayEnd = new CountDownLatch(1);
    private GatewayFleet mFleet;

    @AfterEach
    void close() throws Exception {
        mMayEnd.countDown();
        mFleet.close();
    }

    /** The upstream that receives the first request refuses it and asks for a pause. */
    private boolean respond(int upstream, String request, Socket socket) throws IOException {
        if (GatewayFleet.requestId(request).startsWith("first")
                && mRefused.compareAndSet(-1, upstream)) {
            return refuse(request, socket, 60_000);
        }
        if (GatewayFleet.requestId(request).startsWith("held")) {
            GatewayFleet.await(mMayEnd);
        }
        return GatewayFleet.respondOk(request, socket);
    }

    private static boolean refuse(String request, Socket socket, long pauseMillis)
            throws IOException {
        FakeServer.write(
                socket,
                "HTTP/1.1 503 Busy\r\nId: "
                        + GatewayFleet.requestId(request)
                        + "\r\nNot-Run: 1\r\nPause: "
                        + pauseMillis
                        + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    }

    private FakeServer refused() {
        return mFleet.upstream(mRefused.get());
    }

    private List<String> requestsOf(String prefix) {
        return refused().requests().stream()
                .filter(each -> GatewayFleet.requestId(each).startsWith(prefix))
                .toList();
    }

    /** Sends more requests at a time than one upstream takes. */
    private void assertUsesBoth(int gateway) throws IOException {
        for (int i = 0; i < MAX_RUNNING + 1; i++) {
            mFleet.open(gateway, "unsafe", "held-" + i);
        }
        while (requestsOf("held").isEmpty()) {
            // Lets the timeout of the test end it.
            assertThat(Thread.currentThread().isInterrupted()).isFalse();
            Thread.onSpinWait();
        }
    }

    @Test
    void sendsNothingUntilThePauseIsOver() throws Exception {
        mFleet = new GatewayFleet(1, 2, this::respond);
        assertThat(mFleet.send(0, "unsafe", "first")).startsWith("HTTP/1.1 200");
        // The other upstream is busier.
        for (int i = 0; i < MAX_RUNNING - 1; i++) {
            mFleet.open(0, "unsafe", "held-before-" + i);
        }
        for (int i = 0; i < REQUESTS; i++) {
            mFleet.advanceClock(3_000);
            assertThat(mFleet.send(0, "unsafe", "r" + i)).startsWith("HTTP/1.1 200");
        }
        assertThat(refused().requests()).hasSize(1);
        mFleet.awaitLogged(
                0, "\"kind\":\"upstream.paused\",\"upstream\":\"u" + mRefused.get() + "\"");
        mFleet.awaitLogged(0, "\"evidence\":\"request first\"");
        mFleet.advanceClock(30_000);
        mFleet.awaitLogged(0, "\"kind\":\"upstream.pause-ended\"");
        assertUsesBoth(0);
    }

    @Test
    void keepsThePauseOfOneInstanceOnly() throws Exception {
        mFleet = new GatewayFleet(2, 2, this::respond);
        assertThat(mFleet.send(1, "unsafe", "first")).startsWith("HTTP/1.1 200");
        for (int i = 0; i < REQUESTS; i++) {
            mFleet.advanceClock(500);
            assertThat(mFleet.send(1, "unsafe", "r" + i)).startsWith("HTTP/1.1 200");
        }
        assertUsesBoth(0);
        // The other upstream is full now.
        mFleet.send(1, "unsafe", "r");
        assertThat(requestsOf("r")).isEmpty();
        assertThat(mFleet.log(0)).doesNotContain("upstream.paused");
    }

    @Test
    void refusesAtOnceIfAllUpstreamsArePaused() throws Exception {
        mFleet =
                new GatewayFleet(
                        1, 1, (upstream, request, socket) -> refuse(request, socket, 20_000));
        assertThat(mFleet.send(0, "unsafe", "first"))
                .startsWith("HTTP/1.1 503")
                .contains("retry-after: ");
        mFleet.advanceClock(10_000);
        assertThat(mFleet.send(0, "unsafe", "r"))
                .startsWith("HTTP/1.1 503")
                .contains("retry-after: ");
        assertThat(mFleet.upstream(0).requests()).hasSize(1);
        mFleet.awaitLogged(0, "\"cause\":\"paused\"");
    }

    @Test
    void ignoresTheRefusalOfAnotherRequest() throws Exception {
        mFleet =
                new GatewayFleet(
                        1,
                        1,
                        (upstream, request, socket) -> {
                            if (GatewayFleet.requestId(request).equals("crossed")) {
                                return refuse(
                                        request.replace("crossed", "another"), socket, 60_000);
                            }
                            return GatewayFleet.respondOk(request, socket);
                        });
        try (Socket socket = mFleet.open(0, "unsafe", "crossed")) {
            assertThat(mFleet.upstream(0).requests().take()).contains("crossed");
        }
        mFleet.advanceClock(3_000);
        assertThat(mFleet.send(0, "unsafe", "r")).startsWith("HTTP/1.1 200");
        assertThat(mFleet.log(0)).doesNotContain("upstream.paused");
    }
}
