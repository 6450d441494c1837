package org.magnoliapick.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** A loopback HTTP server whose responses are written by a script as raw bytes. */
public final class FakeServer implements AutoCloseable {
    private final ServerSocket mServer;
    private final Script mScript;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final BlockingQueue<String> mRequests = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> mClosedConnections = new LinkedBlockingQueue<>();

    /** Handles each request that a connection reads. */
    public interface Script {
        /** Responds to a request; returns whether the connection reads another one. */
        boolean respond(String request, Socket socket) throws IOException;
    }

    /** Starts a server. */
    public FakeServer(Script script) throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        mScript = script;
        Thread acceptThread = new Thread(this::acceptConnections, "fake-peer");
        acceptThread.setDaemon(true);
        acceptThread.start();
    }

    /** Returns the port. */
    public int port() {
        return mServer.getLocalPort();
    }

    /** Returns the received requests in order of arrival. */
    public BlockingQueue<String> requests() {
        return mRequests;
    }

    /** Returns the number of connections that were accepted so far. */
    public int connectionCount() {
        return mSockets.size();
    }

    /** Returns an entry for each connection that the other side closed or reset. */
    public BlockingQueue<String> closedConnections() {
        return mClosedConnections;
    }

    private void acceptConnections() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                Thread connectionThread = new Thread(() -> serve(socket), "fake-peer-connection");
                connectionThread.setDaemon(true);
                connectionThread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            boolean keepReading = true;
            while (keepReading) {
                String request = readRequest(socket.getInputStream());
                if (request.isEmpty()) {
                    mClosedConnections.add("end");
                    return;
                }
                mRequests.add(request);
                keepReading = mScript.respond(request, socket);
            }
        } catch (IOException e) {
            mClosedConnections.add("reset");
        }
    }

    /** Reads one request with its body; returns an empty string at the end of the stream. */
    static String readRequest(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String text = "";
        while (!text.contains("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            bytes.write(next);
            text = bytes.toString(StandardCharsets.ISO_8859_1);
        }
        int length = 0;
        for (String line : text.split("\r\n")) {
            if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    /** Writes a text unchanged. */
    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Closes a connection with a reset. */
    public static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }
}
