package org.magnoliapick.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/** One call to a stand-in, answered with the faults that are on. */
final class Call {
    static final String ATTEMPT = "Magnoliapick-Attempt";
    static final String NOT_STARTED = "Magnoliapick-Not-Started";
    static final String JSON = "application/json; charset=utf-8";
    static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int OVERLONG_BYTES = 16 * 1024 * 1024;
    private static final byte[] BROKEN_JSON = "{\"offset\": [1, ".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OTHER_TYPES =
            "{\"offset\":\"one\",\"entries\":7,\"members\":{},\"choices\":1,\"usage\":{}}"
                    .getBytes(StandardCharsets.UTF_8);

    private final HttpExchange mExchange;
    private final FaultSwitches mFaults;
    private final byte[] mBody;

    Call(HttpExchange exchange, FaultSwitches faults) throws IOException {
        mExchange = exchange;
        mFaults = faults;
        mBody = exchange.getRequestBody().readAllBytes();
    }

    String method() {
        return mExchange.getRequestMethod();
    }

    String path() {
        return mExchange.getRequestURI().getPath();
    }

    /** Returns the part of the path behind a prefix. */
    String pathAfter(String prefix) {
        return path().substring(Math.min(prefix.length(), path().length()));
    }

    String header(String name) {
        String value = mExchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    Optional<String> query(String name) {
        String query = mExchange.getRequestURI().getRawQuery();
        if (query == null) {
            return Optional.empty();
        }
        return Arrays.stream(query.split("&"))
                .filter(pair -> pair.startsWith(name + "="))
                .map(pair -> pair.substring(name.length() + 1))
                .map(value -> URLDecoder.decode(value, StandardCharsets.UTF_8))
                .findFirst();
    }

    long queryLong(String name, long otherwise) {
        return query(name).map(Long::parseLong).orElse(otherwise);
    }

    byte[] body() {
        return mBody;
    }

    String bodyText() {
        return new String(mBody, StandardCharsets.UTF_8);
    }

    /** Returns the body as JSON, or a missing node if it is none. */
    JsonNode json() {
        try {
            return MAPPER.readTree(mBody);
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }

    boolean takes(Fault fault) {
        return mFaults.take(fault, method());
    }

    void setHeader(String name, String value) {
        mExchange.getResponseHeaders().set(name, value);
    }

    void reply(int status, Object value) throws IOException {
        reply(status, JSON, MAPPER.writeValueAsBytes(value));
    }

    /** Answers whole, or as the faults have it. */
    void reply(int status, String contentType, byte[] body) throws IOException {
        if (takes(Fault.LOST_ANSWER)) {
            throw new CutException("The answer is lost");
        }
        byte[] sent = body;
        if (takes(Fault.MALFORMED)) {
            sent = BROKEN_JSON;
        } else if (takes(Fault.WRONG_TYPE)) {
            sent = OTHER_TYPES;
        } else if (takes(Fault.OVERLONG)) {
            sent = new byte[OVERLONG_BYTES];
            Arrays.fill(sent, (byte) ' ');
        }
        boolean isHalf = takes(Fault.HALF_ANSWER);
        startAnswer(contentType);
        boolean hasBody = sent.length > 0;
        mExchange.sendResponseHeaders(status, hasBody ? sent.length : -1);
        if (hasBody) {
            write(sent, isHalf);
        }
        mExchange.close();
    }

    private void write(byte[] body, boolean isHalf) throws IOException {
        OutputStream out = mExchange.getResponseBody();
        if (isHalf) {
            out.write(body, 0, body.length / 2);
            out.flush();
            throw new CutException("Half of the answer is sent");
        }
        out.write(body);
    }

    /** Refuses with the proof that nothing was started. */
    void refuse() throws IOException {
        setHeader(NOT_STARTED, "true");
        reply(503, MAPPER.createObjectNode().put("error", "not started"));
    }

    /** Starts an answer whose length is not known yet. */
    OutputStream startStream(String contentType) throws IOException {
        startAnswer(contentType);
        mExchange.sendResponseHeaders(200, 0);
        return mExchange.getResponseBody();
    }

    void endStream() {
        mExchange.close();
    }

    private void startAnswer(String contentType) {
        setHeader("Content-Type", contentType);
        String attempt = header(ATTEMPT);
        if (attempt.isEmpty() || takes(Fault.MISSING_ATTEMPT)) {
            return;
        }
        setHeader(ATTEMPT, takes(Fault.CROSSED_ATTEMPT) ? "crossed-" + attempt : attempt);
    }
}
