package org.magnoliapick.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** The strict JSON reader and writer of configuration entries and snapshots. */
final class ConfigJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private ConfigJson() {}

    /** Reads one JSON object, or nothing where the bytes are something else. */
    static Optional<JsonNode> readObject(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node != null && node.isObject() ? Optional.of(node) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Replaces lone surrogates, which JSON may spell and UTF-8 cannot hold, by question marks. */
    static String wellFormed(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
    }

    static byte[] write(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A JSON tree can always be written", e);
        }
    }
}
