import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients whose bodies stay within max_body_bytes; a burst of them ends the gateway. */
final class BodiesCase {
    private static final String KEY = "asnmgkcuyj8pjbvk9m68";
    private static final int BODY_BYTES = 4_000_000;
    private static final int REGULAR_CLIENTS = 10;
    private static final int USUAL_UPLOADERS = 18;

    /** The largest x of `burst` in the site file. */
    private static final double BURST = 1.7;

    private static final long BURST_AT_MILLIS = 6_000;
    private static final long BURST_MILLIS = 3_000;
    private static final long LENGTH_MILLIS = 12_000;
    private static final int MOST_LOST = 3;

    private static final Set<String> sLost = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger sNext = new AtomicInteger();
    private static final AtomicInteger sAnswered = new AtomicInteger();

    private BodiesCase() {}

    static int run(boolean trouble, Path folder) throws Exception {
        Store store = new Store();
        Worker[] workers = {new Worker("i-1", "desk"), new Worker("i-2", "desk")};
        store.put("keyed.op", "config", manifest());
        for (Worker worker : workers) {
            store.put("keyed.servers", worker.id(), worker.entry("ready", 1));
        }
        Gateway gateway = new Gateway("127.0.0.1", folder);
        try {
            gateway.start("edge-muttrah-1", store.address());
            if (!gateway.awaitReady(20_000)) {
                Record.line("the gateway did not become ready");
                return 2;
            }
            Thread.sleep(2_000);
            long start = Record.millis();
            for (int i = 0; i < REGULAR_CLIENTS; i++) {
                client(gateway, start, 0, LENGTH_MILLIS, 500, new byte[600]);
            }
            byte[] body = new byte[BODY_BYTES];
            for (int i = 0; i < USUAL_UPLOADERS; i++) {
                client(gateway, start, 0, LENGTH_MILLIS, 1_000, body);
            }
            int more = trouble ? (int) (USUAL_UPLOADERS * (BURST - 1)) : 0;
            for (int i = 0; i < more; i++) {
                long end = BURST_AT_MILLIS + BURST_MILLIS;
                client(gateway, start, BURST_AT_MILLIS, end, 1_000, body);
            }
            while (Record.millis() - start < LENGTH_MILLIS + 3_000 && gateway.process().isAlive()) {
                Thread.sleep(50);
            }
            Thread.sleep(500);
            boolean alive = gateway.process().isAlive();
            Record.line(
                    "gateway process "
                            + (alive
                                    ? "runs"
                                    : "ended by itself, exit " + gateway.process().exitValue()));
            long lost =
                    sLost.stream()
                            .filter(
                                    id ->
                                            workers[0].runs.containsKey(id)
                                                    || workers[1].runs.containsKey(id))
                            .count();
            Record.line(
                    "answered " + sAnswered
                            + ", run at a worker and channel closed without an answer: "
                            + lost + " (the rule allows " + MOST_LOST + ")");
            if (sAnswered.get() < 20) {
                return 2;
            }
            return lost > MOST_LOST ? 1 : 0;
        } finally {
            gateway.end();
        }
    }

    private static void client(
            Gateway gateway,
            long start,
            long fromMillis,
            long toMillis,
            long workMillis,
            byte[] body) {
        Record.daemon(
                "client",
                () -> {
                    Thread.sleep(Math.max(0, start + fromMillis - Record.millis()));
                    while (Record.millis() - start < toMillis && gateway.process().isAlive()) {
                        requests(gateway, start, toMillis, workMillis, body);
                    }
                });
    }

    /** Sends requests on one channel until it is closed. */
    private static void requests(
            Gateway gateway, long start, long toMillis, long workMillis, byte[] body)
            throws InterruptedException {
        try (Client client = new Client(gateway.http())) {
            while (Record.millis() - start < toMillis) {
                String id = String.format("%016x", 0x51de0000L + sNext.incrementAndGet());
                boolean kept = client.isKept();
                try {
                    Record.line(
                            "sent     " + id + " " + body.length + " B" + (kept ? " kept" : ""));
                    client.send(id, "/order/" + workMillis, KEY, 10_000, body);
                    Wire.Message answer = client.answer();
                    if (answer == null) {
                        throw new IOException("closed");
                    }
                    Record.line("answered " + id + " " + answer.first());
                    sAnswered.incrementAndGet();
                    if (answer.status() != 200) {
                        Thread.sleep(200);
                    }
                    if (answer.header("Connection").equalsIgnoreCase("close")) {
                        return;
                    }
                } catch (IOException e) {
                    Record.line("closed   " + id + " without an answer: " + e.getMessage());
                    if (kept) {
                        sLost.add(id);
                    }
                    return;
                }
            }
        } catch (IOException e) {
            Thread.sleep(100);
        }
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-order\",\"host\":\"desk.example\","
                + "\"path_prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout_ms\":10000,"
                + "\"slo_ms\":3000,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,"
                + "\"public\":false}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
                + "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
                + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
                + "\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }
}
