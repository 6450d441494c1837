import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker crashes in the middle of an answer without a length, to a request that is not read. */
final class CutAnswerCase {
    private static final int WORKERS = 4;
    private static final int CLIENTS = 12;
    private static final int BODY_BYTES = 4_000_000;
    private static final long CRASH_MILLIS = 5_000;
    private static final long LENGTH_MILLIS = 10_000;
    private static final String HALF = "0123456789abcdef".repeat(25);

    private static final AtomicInteger sNext = new AtomicInteger();
    private static final AtomicInteger sWhole = new AtomicInteger();
    private static final AtomicInteger sCut = new AtomicInteger();

    private CutAnswerCase() {}

    /** A worker that answers before it has read a long body, and ends the answer by its channel. */
    private static final class EarlyWorker {
        private final ServerSocket mServer = new ServerSocket();
        private final Queue<Socket> mChannels = new ConcurrentLinkedQueue<>();

        private EarlyWorker() throws IOException {
            // Small windows, as on the users' links: what is not read blocks its writer.
            mServer.setReceiveBufferSize(8_192);
            mServer.bind(new InetSocketAddress("127.0.0.1", 0), 64);
            Record.daemon("worker", this::accept);
        }

        private String entry() {
            return "{\"service\":\"desk\",\"address\":\"127.0.0.1:" + mServer.getLocalPort()
                    + "\",\"zone\":\"muttrah\",\"version\":\"v1\",\"max_slots\":6,"
                    + "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,"
                    + "\"born\":1700000000000}";
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = mServer.accept();
                mChannels.add(socket);
                Record.daemon("worker-channel", () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 4_096);
            Wire.Message call = Wire.head(in);
            if (call == null) {
                return;
            }
            String id = call.header("Attempt-Id");
            Record.line("run      " + id);
            OutputStream out = socket.getOutputStream();
            out.write(
                    Wire.bytes(
                            "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s."
                                    + id + "\r\nConnection: close\r\n\r\n" + HALF));
            out.flush();
            Thread.sleep(400);
            Wire.exactly(in, Integer.parseInt(call.header("content-length")));
            out.write(Wire.bytes(HALF));
            out.flush();
            socket.shutdownOutput();
            in.read();
            socket.close();
        }

        /** Ends as a killed process does: channels with unread bytes are reset. */
        private void crash() throws IOException {
            mServer.close();
            for (Socket each : mChannels) {
                if (!each.isClosed()) {
                    each.setSoLinger(true, 0);
                    each.close();
                }
            }
        }
    }

    static int run(boolean trouble, Path folder) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", manifest());
        List<EarlyWorker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            workers.add(new EarlyWorker());
            store.put("keyed.servers", "i-" + i, workers.get(i - 1).entry());
        }
        Gateway gateway = new Gateway("127.0.0.1", folder);
        try {
            gateway.start("edge-muttrah-1", store.address());
            if (!gateway.awaitReady(20_000)) {
                Record.line("the gateway did not become ready");
                return 2;
            }
            Thread.sleep(1_500);
            long start = Record.millis();
            for (int i = 0; i < CLIENTS; i++) {
                Record.daemon("client", () -> requests(gateway, start));
            }
            Thread.sleep(CRASH_MILLIS);
            if (trouble) {
                Record.line("worker   i-1 crashes");
                workers.get(0).crash();
            }
            Thread.sleep(LENGTH_MILLIS - CRASH_MILLIS + 2_000);
            Record.line(
                    "successes with the worker's whole body: " + sWhole
                            + "; successes that look complete and lack a part of it: " + sCut);
            return sWhole.get() < 20 ? 2 : sCut.get() > 0 ? 1 : 0;
        } finally {
            gateway.end();
        }
    }

    private static void requests(Gateway gateway, long start) throws Exception {
        byte[] body = new byte[BODY_BYTES];
        while (Record.millis() - start < LENGTH_MILLIS) {
            String id = String.format("%016x", 0xc07L << 32 | sNext.incrementAndGet());
            try (Client client = new Client(gateway.http())) {
                Record.line("sent     " + id);
                client.send(id, "/order/1", "", 4_000, body);
                Wire.Message answer = client.answer();
                String seen =
                        answer == null
                                ? "closed"
                                : answer.first() + ", " + answer.body().length + " B";
                Record.line("answered " + id + " " + seen);
                if (answer != null && answer.status() == 200) {
                    (answer.text().equals(HALF + HALF) ? sWhole : sCut).incrementAndGet();
                }
            } catch (IOException e) {
                Record.line("closed   " + id + " " + e.getMessage());
            }
            Thread.sleep(20);
        }
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-order\",\"host\":\"desk.example\","
                + "\"path_prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,"
                + "\"slo_ms\":2000,\"priority\":1,\"service\":\"desk\",\"max_attempts\":1,"
                + "\"public\":true}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
                + "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
                + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }
}
