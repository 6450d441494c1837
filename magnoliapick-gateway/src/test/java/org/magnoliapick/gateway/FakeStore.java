package org.magnoliapick.gateway;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A loopback store with a log of keyed records for each topic, which can be restored from a copy. A
 * read at the end of a log waits briefly for a record; one beyond its end gets 410.
 */
public final class FakeStore implements AutoCloseable {
    /** The longest wait of a read, in milliseconds; keeps readers from spinning. */
    private static final long WAIT_MILLIS = 20;

    private final Map<StoreTopic, List<String>> mLogs = new EnumMap<>(StoreTopic.class);
    private final FakeServer mServer;
    private long mEpoch = 1;

    /** Starts a store with empty logs. */
    public FakeStore() throws IOException {
        for (StoreTopic topic : StoreTopic.values()) {
            mLogs.put(topic, new ArrayList<>());
        }
        mServer = new FakeServer(this::respond);
    }

    /** Returns the port. */
    public int port() {
        return mServer.port();
    }

    /** Opens another port to the same logs, whose closing cuts off those that use it. */
    public FakeServer openPort() throws IOException {
        return new FakeServer(this::respond);
    }

    /** Appends a record; an empty value deletes its key. */
    public synchronized void append(StoreTopic topic, String key, String value) {
        mLogs.get(topic).add(key + "=" + value);
        notifyAll();
    }

    /** Loses all records of a topic from an offset on, and begins a new epoch. */
    public synchronized void restore(StoreTopic topic, int offset) {
        List<String> log = mLogs.get(topic);
        log.subList(offset, log.size()).clear();
        mEpoch++;
        notifyAll();
    }

    private synchronized boolean respond(String request, Socket socket) throws IOException {
        // GET /newest/TOPIC or /from/TOPIC/OFFSET
        String[] path = request.split(" ")[1].split("/");
        List<String> log = mLogs.get(StoreTopic.valueOf(path[2]));
        int from = path[1].equals("from") ? Integer.parseInt(path[3]) : -1;
        if (from == log.size()) {
            awaitRecord();
        }
        boolean lost = from > log.size();
        StringBuilder body = new StringBuilder().append(log.size()).append('\n');
        Map<String, String> newest = new LinkedHashMap<>();
        for (int i = Math.max(0, from); i < log.size(); i++) {
            String line = i + "=" + log.get(i) + "\n";
            newest.put(from < 0 ? log.get(i).split("=")[0] : line, line);
        }
        newest.values().stream()
                .filter(line -> from >= 0 || !line.endsWith("=\n"))
                .forEach(body::append);
        FakeServer.write(
                socket,
                "HTTP/1.1 "
                        + (lost ? "410 Gone" : "200 OK")
                        + "\r\nEpoch: "
                        + mEpoch
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
        return true;
    }

    private void awaitRecord() throws IOException {
        try {
            wait(WAIT_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for a record", e);
        }
    }

    /** Returns a call to this store. */
    public static StoreCall call(String path) {
        return new StoreCall() {
            @Override
            public HttpRequest request() {
                return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            }

            @Override
            public StoreResponse parse(int status, byte[] body) {
                return status == 410 ? new StoreResponse.Compacted() : parsePage(body);
            }
        };
    }

    private static StoreResponse parsePage(byte[] body) {
        String[] lines = new String(body, StandardCharsets.ISO_8859_1).split("\n");
        List<StoreRecord> records = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            String[] fields = lines[i].split("=", 3);
            records.add(
                    new StoreRecord(
                            fields[1],
                            fields[2].getBytes(StandardCharsets.ISO_8859_1),
                            Long.parseLong(fields[0])));
        }
        return new StoreResponse.Page(records, Long.parseLong(lines[0]), Optional.empty());
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
