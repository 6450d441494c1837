package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Creates encoded configuration entries for tests. */
final class Entries {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Entries() {}

    static byte[] set(String id, String path, String json) {
        return set(id, Map.of(), Map.of(path, json));
    }

    static byte[] set(String id, Map<String, Long> expect, Map<String, String> values) {
        Map<String, JsonNode> set = new HashMap<>();
        values.forEach((path, json) -> set.put(path, json(json)));
        return new ConfigEntry(id, "noor", "test", expect, set, List.of(), -1).encode();
    }

    static byte[] unset(String id, String path) {
        return new ConfigEntry(id, "noor", "test", Map.of(), Map.of(), List.of(path), -1).encode();
    }

    static byte[] replace(String id, long replaceAfter, String path, String json) {
        Map<String, JsonNode> set = Map.of(path, json(json));
        return new ConfigEntry(id, "noor", "gap", Map.of(), set, List.of(), replaceAfter).encode();
    }

    static byte[] raw(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
