package org.magnoliapick.ports.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.magnoliapick.ports.AttemptFailure;
import org.magnoliapick.ports.ModelStream;

/** Feeds one answer of a model engine, streamed or not, to a stream and ends it exactly once. */
final class ModelAnswer {
    private static final byte[] END_MARK = "[DONE]".getBytes(StandardCharsets.UTF_8);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String JSON = "application/json";
    private static final long DRAIN_MILLIS = 200;

    private final ModelStream mStream;
    private final int mMaxEventBytes;
    private long mPromptTokens;
    private long mOutputTokens;
    private boolean mEnded;

    ModelAnswer(ModelStream stream, int maxEventBytes) {
        mStream = stream;
        mMaxEventBytes = maxEventBytes;
    }

    /** Reads the answer from its head to its end mark. */
    void read(Exchange exchange) throws IOException {
        String contentType = exchange.contentType().toLowerCase(Locale.ROOT);
        boolean isStream = contentType.startsWith(EVENT_STREAM);
        if (!isStream && !contentType.startsWith(JSON)) {
            throw Json.malformed("a content type of JSON or events, not '" + contentType + "'");
        }
        if (isStream) {
            mStream.onHead(exchange.status(), exchange.contentType());
            readEvents(exchange);
        } else {
            readWhole(exchange);
        }
    }

    /** Ends the stream with a failure unless it has ended already. */
    void fail(ExchangeException failure) {
        if (!mEnded) {
            mEnded = true;
            mStream.onFailure(failure.failure(), failure.getMessage());
        }
    }

    private void readWhole(Exchange exchange) throws IOException {
        byte[] body = exchange.wholeBody();
        JsonNode node = Json.parseObject(body);
        takeUsage(node);
        mStream.onHead(exchange.status(), exchange.contentType());
        take(body, (int) Math.min(Integer.MAX_VALUE, mOutputTokens));
        end();
    }

    private void readEvents(Exchange exchange) throws IOException {
        InputStream body = exchange.body();
        SseDecoder decoder = new SseDecoder(body, mMaxEventBytes);
        Optional<SseDecoder.Event> event = decoder.next();
        while (event.isPresent()) {
            byte[] data = event.get().data();
            if (Arrays.equals(data, END_MARK)) {
                end();
                drain(exchange, body);
                return;
            }
            takeEvent(event.get());
            event = decoder.next();
        }
        throw new ExchangeException(AttemptFailure.CUT, "The stream ended without its end mark");
    }

    private void takeEvent(SseDecoder.Event event) throws ExchangeException {
        if (event.type().equals("error")) {
            throw new ExchangeException(AttemptFailure.FAILED, "The engine ended the stream");
        }
        JsonNode chunk = Json.parseObject(event.data());
        take(event.data(), takeTokens(chunk));
    }

    /**
     * Returns the tokens that a chunk adds: by the running usage if the chunk has one, and
     * otherwise one for each choice with content.
     */
    private int takeTokens(JsonNode chunk) throws ExchangeException {
        if (chunk.path("usage").isObject()) {
            long before = mOutputTokens;
            takeUsage(chunk);
            return (int) Math.max(0, mOutputTokens - before);
        }
        int tokens = 0;
        for (JsonNode choice : chunk.path("choices")) {
            String text = choice.path("delta").path("content").asText(choice.path("text").asText());
            tokens += text.isEmpty() ? 0 : 1;
        }
        mOutputTokens += tokens;
        return tokens;
    }

    private void takeUsage(JsonNode node) throws ExchangeException {
        JsonNode usage = node.path("usage");
        if (usage.isObject()) {
            mPromptTokens = Json.longAt(usage, "prompt_tokens");
            mOutputTokens = Json.longAt(usage, "completion_tokens");
        }
    }

    private void take(byte[] data, int tokens) throws ExchangeException {
        if (!mStream.onChunk(data, tokens)) {
            throw new ExchangeException(AttemptFailure.CANCELLED, "Cancelled by the receiver");
        }
    }

    private void end() {
        mEnded = true;
        mStream.onEnd(mPromptTokens, mOutputTokens);
    }

    /** Reads the end of the body, so that the connection can be used again. */
    private static void drain(Exchange exchange, InputStream body) throws IOException {
        exchange.endWithin(DRAIN_MILLIS);
        if (body.read() >= 0) {
            throw new IOException("The stream went on after its end mark");
        }
    }
}
