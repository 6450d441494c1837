package org.magnoliapick.router.internal.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;

/** The bytes of server-sent events. */
final class ServerSentEvent {
    private static final byte[] DATA = "data: ".getBytes(UTF_8);
    private static final byte[] END = "\n\n".getBytes(UTF_8);
    private static final byte[] END_MARK = "data: [DONE]\n\n".getBytes(UTF_8);
    private static final ObjectMapper JSON = new ObjectMapper();

    private ServerSentEvent() {}

    /** Returns an event with the given data, which is passed on byte for byte. */
    static byte[] data(byte[] data) {
        ByteArrayOutputStream event = new ByteArrayOutputStream(data.length + 8);
        event.writeBytes(DATA);
        event.writeBytes(data);
        event.writeBytes(END);
        return event.toByteArray();
    }

    /** Returns the event that ends a whole stream. */
    static byte[] endMark() {
        return END_MARK.clone();
    }

    /** Returns the event that ends a stream which cannot go on. */
    static byte[] error(Problem problem) {
        try {
            String json = JSON.writeValueAsString(problem);
            return ("event: error\ndata: " + json + "\n\n").getBytes(UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A problem can always be written", e);
        }
    }
}
