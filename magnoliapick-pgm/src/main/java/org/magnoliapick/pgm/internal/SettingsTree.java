package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** Trees and values of settings as people write them. */
final class SettingsTree {
    private static final ObjectMapper VALUES =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private SettingsTree() {}

    /** Reads a YAML file into values by path; null values stand for removals. */
    static Map<String, JsonNode> read(String file) {
        Map<String, JsonNode> values = new TreeMap<>();
        try {
            JsonNode node = new YAMLMapper().readTree(Files.readAllBytes(Path.of(file)));
            if (node == null || !node.isObject()) {
                throw PgmException.usage("fileUnreadable", file);
            }
            collect("", node, values);
        } catch (IOException e) {
            throw PgmException.usage("fileUnreadable", file);
        }
        return values;
    }

    /** Reads a value: JSON where it is JSON, otherwise a text. */
    static JsonNode value(String text) {
        try {
            JsonNode node = VALUES.readTree(text);
            return node.isMissingNode() ? TextNode.valueOf(text) : node;
        } catch (JsonProcessingException e) {
            return TextNode.valueOf(text);
        }
    }

    /** Returns the longest path that all the given ones begin with. */
    static String commonPath(Iterable<String> paths) {
        String common = null;
        for (String path : paths) {
            common = common == null ? path : commonPath(common, path);
        }
        return common == null ? "" : common;
    }

    private static String commonPath(String one, String other) {
        String shorter = one;
        while (!other.equals(shorter) && !other.startsWith(shorter + "/")) {
            int slash = shorter.lastIndexOf('/');
            if (slash < 0) {
                return "";
            }
            shorter = shorter.substring(0, slash);
        }
        return shorter;
    }

    private static void collect(String path, JsonNode node, Map<String, JsonNode> values) {
        if (!node.isObject()) {
            values.put(path, node);
            return;
        }
        String prefix = path.isEmpty() ? "" : path + "/";
        node.properties().forEach(e -> collect(prefix + e.getKey(), e.getValue(), values));
    }
}
