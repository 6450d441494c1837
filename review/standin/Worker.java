import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A sound worker of a plain service. It answers each request with 200 after its work. */
final class Worker {
    /** What was run, by the Attempt-Id: how often. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /** When it reached this worker, by the Attempt-Id. */
    final Map<String, Long> runMillis = new ConcurrentHashMap<>();

    private final ServerSocket mServer;
    private final String mId;
    private final String mService;

    Worker(String id, String service) throws IOException {
        mId = id;
        mService = service;
        mServer = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Record.daemon("worker", this::accept);
    }

    String id() {
        return mId;
    }

    String entry(String state, int sequence) {
        return "{\"service\":\"" + mService + "\",\"address\":\"127.0.0.1:"
                + mServer.getLocalPort()
                + "\",\"zone\":\"muttrah\",\"version\":\"v1\",\"max_slots\":64,\"state\":\"" + state
                + "\",\"cold_left_ms\":0,\"sequence\":" + sequence + ",\"born\":1700000000000}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = mServer.accept();
            socket.setTcpNoDelay(true);
            Record.daemon("worker-channel", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            for (Wire.Message call = Wire.read(in); call != null; call = Wire.read(in)) {
                String id = call.header("Attempt-Id");
                OutputStream out = socket.getOutputStream();
                if (!call.header("Target-Instance").equals(mId)) {
                    out.write(
                            Wire.bytes(
                                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id
                                            + "\r\nInstance-Id: " + mId
                                            + "\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                runs.merge(id, 1, Integer::sum);
                runMillis.put(id, Record.millis());
                Record.line(
                        "run      " + id + " at " + mId + " tenant '" + call.header("Tenant") + "' "
                                + call.body().length + " B");
                // The clients of a case put the work into the path: /PREFIX/MILLIS.
                String path = call.path();
                Thread.sleep(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
                byte[] body = Wire.bytes("done " + id + "\n");
                out.write(
                        Wire.bytes(
                                "HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                                        + "\r\nResponse-Signature: s." + id
                                        + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
            }
        }
    }
}
