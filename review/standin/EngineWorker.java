import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A model worker that streams events. It can go dark and start again under its id. */
final class EngineWorker {
    /** When it began to work on its requests, in all its lifetimes. */
    final Queue<Long> runMillis = new ConcurrentLinkedQueue<>();

    private final String mId;
    private final String mService;
    private Life mLife;

    EngineWorker(String id, String service) throws IOException {
        mId = id;
        mService = service;
        mLife = new Life();
    }

    String id() {
        return mId;
    }

    String entry(int sequence) {
        return "{\"service\":\"" + mService + "\",\"address\":\"127.0.0.1:"
                + mLife.mServer.getLocalPort()
                + "\",\"zone\":\"muttrah\",\"version\":\"v1\",\"max_slots\":64,\"state\":\"ready\","
                + "\"cold_left_ms\":0,\"phase\":\"colocated\",\"models\":[{\"name\":\"m\","
                + "\"version\":1,\"lora_adapters\":[]}],\"sequence\":" + sequence + ",\"born\":"
                + mLife.mBorn + "}";
    }

    /** Turns silent: its channels stay as they are, and nothing more comes from it. */
    void goDark() {
        mLife.mDark = true;
    }

    /**
     * Starts again at a new port. What is sent on a channel of before is reset, as a machine does
     * that is back; the sender's probes come once a second.
     */
    void startAgain() throws IOException {
        Life before = mLife;
        mLife = new Life();
        Record.daemon(
                "resets",
                () -> {
                    Thread.sleep(1_000);
                    before.reset();
                });
    }

    private final class Life {
        private final ServerSocket mServer;
        private final long mBorn = System.currentTimeMillis();
        private final List<Socket> mChannels = new ArrayList<>();
        private volatile boolean mDark;

        private Life() throws IOException {
            mServer = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            Record.daemon("engine", this::accept);
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                synchronized (mChannels) {
                    mChannels.add(socket);
                }
                Record.daemon("engine-channel", () -> serve(socket));
            }
        }

        private void reset() throws IOException {
            mServer.close();
            synchronized (mChannels) {
                for (Socket each : mChannels) {
                    each.setSoLinger(true, 0);
                    each.close();
                }
            }
        }

        private void serve(Socket socket) throws Exception {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Wire.Message call = Wire.read(in); call != null; call = Wire.read(in)) {
                if (mDark) {
                    return;
                }
                String id = call.header("Attempt-Id");
                runMillis.add(Record.millis());
                Record.line("run      " + id + " at " + mId);
                int resumeAfter =
                        call.header("Last-Event-Id").isEmpty()
                                ? 0
                                : Integer.parseInt(call.header("Last-Event-Id"));
                OutputStream out = socket.getOutputStream();
                // Reads the prompt, then an event each 10 ms.
                Thread.sleep(Long.parseLong(call.header("Token-Usage").split(",")[0]) / 82);
                send(
                        out,
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + id
                                + "\r\nResponse-Signature: s." + id
                                + "\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int event = resumeAfter + 1; event <= 40; event++) {
                    String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                    send(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                    Thread.sleep(10);
                }
                send(out, "0\r\n\r\n");
            }
            socket.close();
        }

        private void send(OutputStream out, String text) throws IOException {
            if (!mDark) {
                out.write(Wire.bytes(text));
                out.flush();
            }
        }
    }
}
