package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliapick.gateway.GatewayFixture.requestId;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends requests to upstreams that cut, repeat, cross and extend their responses. */
@Timeout(600)
final class FaultyUpstreamHuntTest {
    private static final int CALLERS = 4;
    private static final int REQUESTS = 15;
    private static final int EVENTS = 5;
    private static final List<String> ROUTES = List.of("unsafe", "safe", "stream");

    /** The seeds of a run; more by -Dhunt.seeds=N. */
    private static final int SEEDS = Integer.getInteger("hunt.seeds", 2);

    /** How an upstream answers. */
    private enum Fault {
        NONE,
        REFUSED,
        REPEATED_BEFORE,
        REPEATED_AFTER,
        CROSSED_REFUSAL,
        NAMELESS_REFUSAL,
        EXTRA_BYTES,
        CUT,
        CUT_HEAD,
        GARBAGE,
        FAILED,
        NOT_FOUND,
        OTHER_TYPE,
        NO_EVENTS,
        GAP;

        /** Returns whether the upstream runs the request. */
        private boolean runs() {
            return this != REFUSED;
        }
    }

    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mArrivals = new ConcurrentHashMap<>();

    /** The last response on each connection, which a faulty upstream writes again. */
    private final Map<Socket, String> mLast = new ConcurrentHashMap<>();

    private long mSeed;

    @Test
    void callersReceiveTheirOwnAnswersAndTrueRefusals() throws Exception {
        for (mSeed = 1; mSeed <= SEEDS; mSeed++) {
            mRuns.clear();
            mArrivals.clear();
            try (GatewayFixture gateway = new GatewayFixture(this::respond, this::respond)) {
                Map<String, String> responses = sendAll(gateway);
                responses.forEach(this::check);
            }
        }
    }

    private static Map<String, String> sendAll(GatewayFixture gateway) throws Exception {
        Map<String, String> responses = new ConcurrentHashMap<>();
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try {
            List<Callable<Void>> plans = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                plans.add(
                        () -> {
                            for (int j = 0; j < REQUESTS; j++) {
                                String route = ROUTES.get(j % ROUTES.size());
                                String id = route + "-" + caller + "-" + j;
                                responses.put(id, gateway.send(route, id));
                            }
                            return null;
                        });
            }
            for (Future<Void> each : callers.invokeAll(plans)) {
                each.get();
            }
        } finally {
            callers.shutdownNow();
        }
        return responses;
    }

    private static int count(Map<String, AtomicInteger> counts, String id) {
        return counts.computeIfAbsent(id, each -> new AtomicInteger()).incrementAndGet();
    }

    private boolean respond(String request, Socket socket) throws IOException {
        String id = requestId(request);
        Random random = new Random(31 * (31 * mSeed + id.hashCode()) + count(mArrivals, id));
        Fault[] faults = Fault.values();
        Fault fault = random.nextInt(3) == 0 ? Fault.NONE : faults[random.nextInt(faults.length)];
        if (fault.runs()) {
            count(mRuns, id);
        }
        String sound = soundResponse(request, id);
        String response = faultyResponse(fault, sound, id, mLast.getOrDefault(socket, ""));
        mLast.put(socket, fault == Fault.REFUSED ? response : sound);
        if (fault == Fault.CUT || fault == Fault.CUT_HEAD) {
            int head = sound.indexOf("\r\n\r\n") + 4;
            int end = fault == Fault.CUT ? head + random.nextInt(sound.length() - head) : head / 2;
            FakeServer.write(socket, sound.substring(0, end));
            FakeServer.reset(socket);
            return false;
        }
        FakeServer.write(socket, response);
        return true;
    }

    private static String soundResponse(String request, String id) {
        if (!id.startsWith("stream")) {
            String body = "body of " + id;
            return head("200 OK", id) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        int start = request.indexOf("After: ");
        int after =
                start < 0
                        ? 0
                        : Integer.parseInt(
                                request.substring(start + 7, request.indexOf('\r', start)));
        StringBuilder text =
                new StringBuilder(head("200 OK", id))
                        .append("Content-Type: text/event-stream\r\n")
                        .append("Transfer-Encoding: chunked\r\n\r\n");
        for (int i = after + 1; i <= EVENTS; i++) {
            text.append(chunk(i, id));
        }
        return text.append("0\r\n\r\n").toString();
    }

    private static String head(String status, String id) {
        return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\nSigned: x\r\n";
    }

    private static String chunk(int number, String id) {
        String event = "id: " + number + "\ndata: " + id + "\n\n";
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }

    private static String faultyResponse(Fault fault, String sound, String id, String last) {
        String refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 4\r\n";
        return switch (fault) {
            case REFUSED -> refusal + "Id: " + id + "\r\n\r\nbusy";
            case REPEATED_BEFORE -> last + sound;
            case REPEATED_AFTER -> sound + sound;
            case CROSSED_REFUSAL -> refusal + "Id: other\r\n\r\nbusy" + sound;
            case NAMELESS_REFUSAL -> refusal + "\r\nbusy" + sound;
            case EXTRA_BYTES -> sound + "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n";
            case GARBAGE -> "garbage\r\n\r\n" + sound;
            case FAILED -> head("500 Error", id) + "Content-Length: 5\r\n\r\nerror";
            case NOT_FOUND -> head("404 None", id) + "Content-Length: 5\r\n\r\nerror";
            case OTHER_TYPE ->
                    head("200 OK", id)
                            + "Content-Type: text/plain\r\nContent-Length: "
                            + ("body of " + id).length()
                            + "\r\n\r\nbody of "
                            + id;
            case NO_EVENTS ->
                    id.startsWith("stream") && !sound.contains("id: 1\n")
                            ? sound.substring(0, sound.indexOf("\r\n\r\n") + 4) + "0\r\n\r\n"
                            : sound;
            case GAP ->
                    id.startsWith("stream") && !sound.contains("id: 1\n")
                            ? sound.replaceFirst(
                                    "(?s)\r\n\r\n[0-9a-f]+\r\nid: .*?\n\n\r\n", "\r\n\r\n")
                            : sound;
            default -> sound;
        };
    }

    private void check(String id, String response) {
        String context = "seed " + mSeed + ", " + id + ": " + response;
        int runs = mRuns.getOrDefault(id, new AtomicInteger()).get();
        if (!id.startsWith("safe") && !id.startsWith("stream")) {
            assertThat(runs).as(context).isLessThanOrEqualTo(1);
        }
        String status = response.substring(9, Math.min(12, response.length()));
        String body = response.substring(response.indexOf("\r\n\r\n") + 4);
        if (status.equals("503") || status.equals("429")) {
            assertThat(runs).as(context).isZero();
        } else if (!status.equals("200")) {
            assertThat(status).as(context).isIn("404", "500", "502", "504");
            assertThat(body).as(context).matches("error|[a-z-]+\n");
        } else if (id.startsWith("stream")) {
            checkStream(context, id, body);
        } else {
            assertThat(body).as(context).isEqualTo("body of " + id);
        }
    }

    private static void checkStream(String context, String id, String body) {
        StringBuilder whole = new StringBuilder();
        List<String> prefixes = new ArrayList<>();
        prefixes.add("");
        for (int i = 1; i <= EVENTS; i++) {
            whole.append(chunk(i, id));
            prefixes.add(whole.toString());
        }
        prefixes.add(whole + "0\r\n\r\n");
        assertThat(prefixes).as(context).contains(body);
    }
}
