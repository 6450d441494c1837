package org.magnoliapick.pgm;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A router that gives prepared answers and remembers the calls. */
final class FakeRouter implements AutoCloseable {
    private final HttpServer mServer;
    private final Map<String, Answer> mAnswers = new HashMap<>();
    private final List<String> mCalls = new ArrayList<>();
    private final List<String> mPreconditions = new ArrayList<>();

    private record Answer(int status, String tag, String body) {}

    FakeRouter() throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mServer = HttpServer.create(address, 0);
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    /** Prepares the answer to a call such as {@code GET settings}. */
    synchronized void answer(String call, int status, String body) {
        mAnswers.put(call, new Answer(status, "", body));
    }

    synchronized void answerWithTag(String call, String tag, String body) {
        mAnswers.put(call, new Answer(200, tag, body));
    }

    synchronized List<String> calls() {
        return List.copyOf(mCalls);
    }

    synchronized List<String> preconditions() {
        return List.copyOf(mPreconditions);
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private synchronized void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath().substring("/admin/v1/".length());
        String call = exchange.getRequestMethod() + " " + path;
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        mCalls.add((call + " " + body).strip());
        String ifMatch = exchange.getRequestHeaders().getFirst("If-Match");
        mPreconditions.add(
                ifMatch != null
                        ? ifMatch
                        : String.valueOf(exchange.getRequestHeaders().getFirst("If-None-Match")));
        Answer answer = mAnswers.get(call);
        if (answer == null) {
            // The connection ends without an answer, as when the router dies after the change.
            exchange.close();
            return;
        }
        if (!answer.tag().isEmpty()) {
            exchange.getResponseHeaders().add("ETag", answer.tag());
        }
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
