package org.magnoliapick.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The HTTP server under every stand-in, with its fault switches. */
final class StandinServer implements AutoCloseable {
    private static final int ACCEPT_BACKLOG = 1_024;

    static {
        // Read once by the JDK's server: answers leave at once, and idle connections are kept.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4096");
        System.setProperty("sun.net.httpserver.idleInterval", "60");
    }

    private final HttpServer mServer;
    private final ExecutorService mExecutor;
    private final FaultSwitches mFaults = new FaultSwitches();

    StandinServer(String host, int port) {
        try {
            mServer = HttpServer.create(new InetSocketAddress(host, port), ACCEPT_BACKLOG);
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen on " + host + ":" + port, e);
        }
        mExecutor = Executors.newCachedThreadPool(StandinServer::newThread);
        mServer.setExecutor(mExecutor);
        route("/faults", this::handleFaults);
        route("/health", call -> call.reply(200, Map.of("status", "up")));
    }

    private static Thread newThread(Runnable body) {
        Thread thread = new Thread(body, "standin");
        thread.setDaemon(true);
        return thread;
    }

    /** Handles calls under a path; faults do not touch them. */
    void route(String path, Handler handler) {
        mServer.createContext(path, exchange -> handler.handle(new Call(exchange, mFaults)));
    }

    /** Handles calls under a path, with the faults that are on. */
    void faultyRoute(String path, Handler handler) {
        mServer.createContext(path, exchange -> handleWithFaults(exchange, handler));
    }

    private void handleWithFaults(HttpExchange exchange, Handler handler) throws IOException {
        Call call = new Call(exchange, mFaults);
        sleep(mFaults.delayMillis());
        if (call.takes(Fault.CUT_BEFORE_HEAD)) {
            throw new CutException("Cut before the answer");
        }
        if (call.takes(Fault.STALL)) {
            stall();
        }
        if (call.takes(Fault.REFUSE)) {
            call.refuse();
        } else if (call.takes(Fault.OUTAGE)) {
            call.reply(503, Map.of("error", "outage"));
        } else if (call.takes(Fault.FAIL)) {
            call.reply(500, Map.of("error", "failed"));
        } else {
            handler.handle(call);
        }
    }

    private void stall() throws CutException {
        try {
            mFaults.awaitClear();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new CutException("Stalled");
    }

    static void sleep(long millis) throws CutException {
        if (millis <= 0) {
            return;
        }
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CutException("Stopped");
        }
    }

    /** Takes {"fault", "calls", "method"} or {"delayMillis"} by POST; DELETE clears all. */
    private void handleFaults(Call call) throws IOException {
        if (call.method().equals("DELETE")) {
            mFaults.clear();
            call.reply(200, Map.of());
            return;
        }
        JsonNode body = call.json();
        if (body.has("delayMillis")) {
            mFaults.setDelayMillis(body.path("delayMillis").asLong());
        }
        Optional<Fault> fault = Fault.ofWireName(body.path("fault").asText());
        if (fault.isEmpty() && body.has("fault")) {
            call.reply(400, Map.of("error", "unknown fault"));
            return;
        }
        int calls = body.path("calls").asInt(FaultSwitches.ALWAYS);
        fault.ifPresent(found -> mFaults.set(found, calls, body.path("method").asText("")));
        call.reply(200, Map.of());
    }

    void start() {
        mServer.start();
    }

    int port() {
        return mServer.getAddress().getPort();
    }

    FaultSwitches faults() {
        return mFaults;
    }

    @Override
    public void close() {
        mServer.stop(0);
        mExecutor.shutdownNow();
    }

    /** Handles one call. */
    interface Handler {
        /** Answers the call; an exception closes the connection. */
        void handle(Call call) throws IOException;
    }
}
