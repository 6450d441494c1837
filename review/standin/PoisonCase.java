import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A request that crashes each worker that begins to run it comes again and again. */
final class PoisonCase {
    private static final int WORKERS = 4;
    private static final int CONTACT_MILLIS = 3_000;

    /** The worker is back after some seconds. */
    private static final long DOWN_MILLIS = 2_500;

    /** Three beats of silence. */
    private static final long SILENT_MILLIS = 3_600;

    private static final int SOUND_PER_SECOND = 10;
    private static final long FIRST_MILLIS = 4_000;

    /** One in 40 requests: a share of 0.025. */
    private static final long EACH_MILLIS = 4_000;

    private static final long FOR_MILLIS = 20_000;
    private static final long LENGTH_MILLIS = FIRST_MILLIS + FOR_MILLIS + 1_000;
    private static final int CRASHES = 3;
    private static final int MOST_RETRIES = 3;
    private static final String POISON = "poison";

    /** When the poison request began to run at workers. */
    private static final Queue<Long> sRuns = new ConcurrentLinkedQueue<>();

    private static final AtomicInteger sNext = new AtomicInteger();
    private static final AtomicInteger sServed = new AtomicInteger();

    private PoisonCase() {}

    /** One lifetime of a worker of a plain service. */
    private static final class Life {
        private final ServerSocket mServer =
                new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        private final Queue<Socket> mChannels = new ConcurrentLinkedQueue<>();
        private final Store mStore;
        private final String mId = "i-" + sNext.incrementAndGet();
        private boolean mDown;

        private Life(Store store) throws IOException {
            mStore = store;
            store.put(
                    "keyed.servers",
                    mId,
                    "{\"service\":\"desk\",\"address\":\"127.0.0.1:" + mServer.getLocalPort()
                            + "\",\"zone\":\"muttrah\",\"version\":\"v1\",\"max_slots\":6,"
                            + "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":"
                            + System.currentTimeMillis() + "}");
            Record.daemon("worker", this::accept);
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                mChannels.add(socket);
                Record.daemon("worker-channel", () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Wire.Message call = Wire.read(in); call != null; call = Wire.read(in)) {
                String id = call.header("Attempt-Id");
                if (call.text().equals(POISON)) {
                    crash(id);
                    return;
                }
                Thread.sleep(20);
                OutputStream out = socket.getOutputStream();
                out.write(
                        Wire.bytes(
                                "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                                        + "\r\nResponse-Signature: s." + id
                                        + "\r\nContent-Length: 5\r\n\r\ndone\n"));
                out.flush();
            }
        }

        /** Ends with all channels, and starts a new lifetime, with a new id, some seconds later. */
        private synchronized void crash(String id) throws IOException {
            if (mDown) {
                return;
            }
            mDown = true;
            sRuns.add(Record.millis());
            Record.line("run      " + id + " (poison) at " + mId + ", which crashes");
            mServer.close();
            for (Socket each : mChannels) {
                each.setSoLinger(true, 0);
                each.close();
            }
            Record.daemon(
                    "restart",
                    () -> {
                        Thread.sleep(DOWN_MILLIS);
                        Record.line("worker   " + new Life(mStore).mId + " starts for " + mId);
                        Thread.sleep(SILENT_MILLIS - DOWN_MILLIS);
                        mStore.put("keyed.servers", mId, null);
                    });
        }
    }

    static int run(boolean trouble, Path folder) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", manifest());
        for (int i = 0; i < WORKERS; i++) {
            new Life(store);
        }
        Gateway gateway = new Gateway("127.0.0.1", folder);
        try {
            gateway.start("edge-muttrah-1", store.address());
            if (!gateway.awaitReady(20_000)) {
                Record.line("the gateway did not become ready");
                return 2;
            }
            Thread.sleep(1_000);
            long start = Record.millis();
            long period = 1_000 / SOUND_PER_SECOND;
            Record.daemon(
                    "sound clients",
                    () -> {
                        for (long at = 0; at < LENGTH_MILLIS; at += period) {
                            sleepUntil(start + at);
                            String body = "sound " + at;
                            Record.daemon("client", () -> request(gateway, body));
                        }
                    });
            for (long at = 0; at < FOR_MILLIS && trouble; at += EACH_MILLIS) {
                sleepUntil(start + FIRST_MILLIS + at);
                request(gateway, POISON);
            }
            sleepUntil(start + LENGTH_MILLIS + 1_000);
            return judge();
        } finally {
            gateway.end();
        }
    }

    private static int judge() {
        List<Long> runs = new ArrayList<>(sRuns);
        long late = 0;
        if (runs.size() >= CRASHES) {
            long after = runs.get(CRASHES - 1) + CONTACT_MILLIS;
            late = runs.stream().filter(at -> at > after).count();
        }
        Record.line(
                "sound requests served " + sServed + "; workers crashed by the request "
                        + runs.size() + "; sent to workers later than contact_ms after the third: "
                        + late + " (the rule allows " + MOST_RETRIES + ")");
        return sServed.get() < 100 ? 2 : late > MOST_RETRIES ? 1 : 0;
    }

    /** Sends a safe request; after a failure its client sends it once more, at once. */
    private static void request(Gateway gateway, String body) {
        for (int attempt = 0; attempt < 2; attempt++) {
            String id = String.format("%016x", 0x90150L << 32 | sNext.incrementAndGet());
            Record.line("sent     " + id + " " + body);
            String seen = "closed";
            try (Client client = new Client(gateway.http())) {
                client.send(id, "/status/2f", "", 2_000, Wire.bytes(body));
                Wire.Message answer = client.answer();
                if (answer != null) {
                    seen = answer.first();
                    if (answer.status() == 200) {
                        sServed.incrementAndGet();
                    }
                    if (answer.status() < 500) {
                        attempt = 2;
                    } else if (!answer.header("Retry-After").isEmpty()) {
                        double seconds = Double.parseDouble(answer.header("Retry-After"));
                        Thread.sleep((long) (1_000 * Math.min(0.6, seconds)));
                    }
                }
            } catch (IOException e) {
                seen = e.toString();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Record.line("answered " + id + " " + seen);
        }
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - Record.millis()));
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-status\",\"host\":\"desk.example\","
                + "\"path_prefix\":\"/status/\",\"kind\":\"safe\",\"timeout_ms\":2000,"
                + "\"slo_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
                + "\"public\":true}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
                + "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
                + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
