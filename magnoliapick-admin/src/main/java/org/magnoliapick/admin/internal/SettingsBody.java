package org.magnoliapick.admin.internal;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.magnoliapick.config.ConfigEntry;
import org.magnoliapick.errors.ErrorKind;

/** Reads the JSON bodies of calls. */
final class SettingsBody {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private SettingsBody() {}

    /** Reads any JSON value, or ends the call. */
    static JsonNode read(byte[] body) {
        if (body.length > ConfigEntry.MAX_BYTES) {
            String detail = "A change has at most " + ConfigEntry.MAX_BYTES + " bytes";
            throw new AdminException(ErrorKind.TOO_LARGE, detail);
        }
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node != null && !node.isMissingNode()) {
                return node;
            }
        } catch (IOException e) {
            throw new AdminException(ErrorKind.BAD_REQUEST, "The body is not JSON");
        }
        throw new AdminException(ErrorKind.BAD_REQUEST, "The body is empty");
    }

    /** Returns the values of a tree by full path; null stands for a path to remove. */
    static Map<String, Optional<JsonNode>> flatten(String path, JsonNode tree) {
        Map<String, Optional<JsonNode>> values = new TreeMap<>();
        collect(path, tree, values);
        return values;
    }

    private static void collect(
            String path, JsonNode node, Map<String, Optional<JsonNode>> values) {
        if (node.isObject()) {
            String prefix = path.isEmpty() ? "" : path + "/";
            node.properties().forEach(e -> collect(prefix + e.getKey(), e.getValue(), values));
        } else {
            values.put(path, node.isNull() ? Optional.empty() : Optional.of(node));
        }
    }

    /** Returns a text member of an object, or ends the call. */
    static String text(JsonNode body, String member) {
        JsonNode value = body.path(member);
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw new AdminException(ErrorKind.BAD_REQUEST, member + " must be a text");
        }
        return value.textValue();
    }
}
