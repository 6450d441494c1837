import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's store: the topics keyed.op and keyed.servers, read by log-newest and log-read. */
final class Store {
    private record Entry(String key, byte[] value) {}

    private final Map<String, List<Entry>> mTopics = new HashMap<>();
    private final ServerSocket mServer;

    Store() throws IOException {
        mServer = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Record.daemon("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Appends a record; a null value deletes the key. Returns once the record is in the log. */
    synchronized void put(String topic, String key, String value) {
        byte[] bytes = value == null ? new byte[0] : Wire.bytes(value);
        mTopics.computeIfAbsent(topic, name -> new ArrayList<>()).add(new Entry(key, bytes));
        notifyAll();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = mServer.accept();
            socket.setTcpNoDelay(true);
            Record.daemon("store-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Wire.Message call = Wire.read(in); call != null; call = Wire.read(in)) {
                byte[] body = answer(call.path());
                OutputStream out = socket.getOutputStream();
                out.write(
                        Wire.bytes(
                                "HTTP/1.1 " + (body == null ? "404 Not Found" : "200 OK")
                                        + "\r\nContent-Type: application/json\r\nContent-Length: "
                                        + (body == null ? 0 : body.length)
                                        + "\r\n\r\n"));
                if (body != null) {
                    out.write(body);
                }
                out.flush();
            }
        }
    }

    private synchronized byte[] answer(String path) throws InterruptedException {
        Map<String, String> query = new HashMap<>();
        for (String each : path.substring(path.indexOf('?') + 1).split("&")) {
            query.put(each.substring(0, each.indexOf('=')), each.substring(each.indexOf('=') + 1));
        }
        List<Entry> log = mTopics.computeIfAbsent(query.get("topic"), name -> new ArrayList<>());
        if (path.startsWith("/v1/log-newest")) {
            return newest(log);
        }
        if (!path.startsWith("/v1/log-read")) {
            return null;
        }
        int from = Integer.parseInt(query.get("from"));
        long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        for (long left = end - System.currentTimeMillis();
                log.size() <= from && left > 0;
                left = end - System.currentTimeMillis()) {
            wait(left);
        }
        return records(log, from);
    }

    private static byte[] newest(List<Entry> log) {
        Map<String, Integer> offsets = new LinkedHashMap<>();
        for (int i = 0; i < log.size(); i++) {
            offsets.remove(log.get(i).key());
            if (log.get(i).value().length > 0) {
                offsets.put(log.get(i).key(), i);
            }
        }
        StringBuilder items = new StringBuilder();
        offsets.forEach(
                (key, offset) ->
                        items.append(items.isEmpty() ? "" : ",")
                                .append("{\"key\":\"" + key + "\",\"value\":\"")
                                .append(Base64.getEncoder().encodeToString(log.get(offset).value()))
                                .append("\",\"offset\":" + offset + "}"));
        return Wire.bytes(
                "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + log.size() + "}");
    }

    private static byte[] records(List<Entry> log, int from) {
        int size = 16;
        for (Entry each : log.subList(Math.min(from, log.size()), log.size())) {
            size += 5 + each.key().length() + each.value().length;
        }
        ByteBuffer page = ByteBuffer.allocate(size).putLong(log.size()).putLong(0);
        for (Entry each : log.subList(Math.min(from, log.size()), log.size())) {
            page.putInt(1 + each.key().length() + each.value().length);
            page.put((byte) each.key().length()).put(Wire.bytes(each.key())).put(each.value());
        }
        return page.array();
    }
}
