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

/** Guards against requests to upstreams that stated in a response that they are leaving. */
@Timeout(30)
final class LeavingUpstreamPathTest {
    private static final String STREAM_START =
            "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nLeaving: 1\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata:a\n\n\r\n";
    private static final String STREAM_END = "0\r\n\r\n";
    private static final int REQUESTS = 12;

    private final AtomicInteger mLeaving = new AtomicInteger(-1);
    private final CountDownLatch mMayEnd = new CountDownLatch(1);
    private GatewayFleet mFleet;

    @AfterEach
    void close() throws Exception {
        mMayEnd.countDown();
        mFleet.close();
    }

    /** The upstream that receives the first stream states at its start that it is leaving. */
    private boolean respond(int upstream, String request, Socket socket) throws IOException {
        if (!request.startsWith("POST /stream/")) {
            return GatewayFleet.respondOk(request, socket);
        }
        String id = GatewayFleet.requestId(request);
        String start = STREAM_START.formatted(id);
        // The stream may be resumed at another upstream, which is not leaving.
        boolean leaves = id.equals("first") && mLeaving.compareAndSet(-1, upstream);
        FakeServer.write(socket, leaves ? start : start.replace("Leaving: 1\r\n", ""));
        GatewayFleet.await(mMayEnd);
        FakeServer.write(socket, STREAM_END);
        return false;
    }

    /** Makes the upstream that is not leaving the busier one. */
    private void occupyTheOther(int gateway) throws IOException {
        for (String id : List.of("second", "third", "fourth")) {
            assertThat(mFleet.open(gateway, "stream", id).getInputStream().read()).isEqualTo('H');
        }
    }

    private FakeServer leaving() {
        return mFleet.upstream(mLeaving.get());
    }

    @Test
    void sendsNothingAfterTheHeadOfAStreamButLetsTheStreamEnd() throws Exception {
        mFleet = new GatewayFleet(1, 2, this::respond);
        try (Socket stream = mFleet.open(0, "stream", "first")) {
            assertThat(stream.getInputStream().read()).isEqualTo('H');
            occupyTheOther(0);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(mFleet.send(0, "unsafe", "r" + i)).startsWith("HTTP/1.1 200");
            }
            assertThat(leaving().requests()).hasSize(1);
            mMayEnd.countDown();
            assertThat(GatewayFleet.readAll(stream)).endsWith(STREAM_END);
        }
        mFleet.awaitLogged(
                0, "\"kind\":\"upstream.leaving\",\"upstream\":\"u" + mLeaving.get() + "\"");
        mFleet.awaitLogged(0, "\"evidence\":\"request first\"");
    }

    @Test
    void tellsTheDispatcher() throws Exception {
        mFleet = new GatewayFleet(2, 2, this::respond);
        try (Socket stream = mFleet.open(1, "stream", "first")) {
            assertThat(stream.getInputStream().read()).isEqualTo('H');
            occupyTheOther(1);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(mFleet.send(1, "unsafe", "r" + i)).startsWith("HTTP/1.1 200");
            }
            mFleet.awaitLogged(0, "\"evidence\":\"instance i1\"");
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(mFleet.send(0, "unsafe", "s" + i)).startsWith("HTTP/1.1 200");
            }
            assertThat(leaving().requests()).hasSize(1);
        }
    }

    @Test
    void refusesAtOnceIfAllUpstreamsAreLeaving() throws Exception {
        mFleet = new GatewayFleet(1, 1, this::respond);
        try (Socket stream = mFleet.open(0, "stream", "first")) {
            assertThat(stream.getInputStream().read()).isEqualTo('H');
            assertThat(mFleet.send(0, "unsafe", "r"))
                    .startsWith("HTTP/1.1 503")
                    .contains("retry-after: ");
        }
        assertThat(leaving().requests()).hasSize(1);
        mFleet.awaitLogged(0, "\"cause\":\"no-upstream\"");
    }

    /** A server that was assigned the address states it, or a response to another request. */
    @Test
    void ignoresTheStatementsOfOthers() throws Exception {
        mFleet =
                new GatewayFleet(
                        1,
                        1,
                        (upstream, request, socket) -> {
                            String id = GatewayFleet.requestId(request);
                            if (id.equals("crossed")) {
                                FakeServer.write(
                                        socket,
                                        "HTTP/1.1 200 OK\r\nId: other\r\nSigned: x\r\nLeaving: 1"
                                                + "\r\nContent-Length: 0\r\n\r\n");
                            } else if (id.equals("misdirected")) {
                                FakeServer.write(
                                        socket,
                                        "HTTP/1.1 421 Misdirected\r\nId: misdirected\r\n"
                                                + "Leaving: 1\r\nContent-Length: 0\r\n\r\n");
                                return true;
                            }
                            return GatewayFleet.respondOk(request, socket);
                        });
        assertThat(mFleet.send(0, "unsafe", "crossed")).startsWith("HTTP/1.1 200");
        assertThat(mFleet.send(0, "unsafe", "misdirected")).startsWith("HTTP/1.1 503");
        mFleet.advanceClock(3_000);
        assertThat(mFleet.send(0, "unsafe", "r")).startsWith("HTTP/1.1 200");
        assertThat(mFleet.log(0)).doesNotContain("upstream.leaving");
    }
}
