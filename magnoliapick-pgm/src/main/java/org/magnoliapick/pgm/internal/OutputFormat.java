package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.Locale;
import java.util.Optional;

/** How results are written. */
enum OutputFormat {
    /** Lines and tables for people. */
    TABLE {
        @Override
        Optional<String> write(JsonNode result) {
            return Optional.empty();
        }
    },
    /** JSON for programs. */
    JSON {
        @Override
        Optional<String> write(JsonNode result) {
            return Optional.of(text(new ObjectMapper(), result));
        }
    },
    /** YAML for programs and people. */
    YAML {
        @Override
        Optional<String> write(JsonNode result) {
            return Optional.of(text(new YAMLMapper(), result).stripTrailing());
        }
    };

    /** Returns the result as text, or empty where the command writes it for people. */
    abstract Optional<String> write(JsonNode result);

    String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<OutputFormat> of(String name) {
        for (OutputFormat format : values()) {
            if (format.wireName().equals(name)) {
                return Optional.of(format);
            }
        }
        return Optional.empty();
    }

    private static String text(ObjectMapper mapper, JsonNode result) {
        try {
            return mapper.enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(result);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A JSON tree can always be written", e);
        }
    }
}
