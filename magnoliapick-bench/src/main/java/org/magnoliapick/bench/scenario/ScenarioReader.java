package org.magnoliapick.bench.scenario;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;

/**
 * Reads scenarios from YAML. The key {@code extends} names a file beside it whose top-level keys
 * stand where this one has none.
 */
public final class ScenarioReader {
    private static final String EXTENDS = "extends";

    private static final ObjectMapper MAPPER =
            YAMLMapper.builder(new YAMLFactory())
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private ScenarioReader() {}

    /**
     * Reads and checks a scenario.
     *
     * @throws ScenarioException if it cannot be read or makes no sense
     */
    public static Scenario read(Path file) throws ScenarioException {
        JsonNode tree = readTree(file);
        try {
            Scenario scenario = MAPPER.treeToValue(tree, Scenario.class);
            new ScenarioCheck(file.toString()).check(scenario);
            return scenario;
        } catch (JsonMappingException e) {
            throw new ScenarioException(file.toString(), pathOf(e), allowedBy(e));
        } catch (JacksonException e) {
            throw new ScenarioException(file.toString(), "(whole file)", oneLine(e));
        }
    }

    private static ObjectNode readTree(Path file) throws ScenarioException {
        if (!Files.isRegularFile(file)) {
            throw new ScenarioException(file.toString(), "(whole file)", "must be a YAML file");
        }
        try {
            JsonNode tree = MAPPER.readTree(file.toFile());
            if (!(tree instanceof ObjectNode own)) {
                throw new ScenarioException(file.toString(), "(whole file)", "must be a map");
            }
            JsonNode base = own.remove(EXTENDS);
            if (base == null) {
                return own;
            }
            ObjectNode merged = readTree(file.resolveSibling(base.asText()));
            merged.setAll(own);
            return merged;
        } catch (JacksonException e) {
            throw new ScenarioException(file.toString(), "(whole file)", oneLine(e));
        } catch (IOException e) {
            throw new ScenarioException(file.toString(), "(whole file)", "must be readable");
        }
    }

    private static String pathOf(JsonMappingException e) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference part : e.getPath()) {
            if (part.getFieldName() == null) {
                path.append('[').append(part.getIndex()).append(']');
            } else {
                path.append(path.isEmpty() ? "" : ".").append(part.getFieldName());
            }
        }
        return path.isEmpty() ? "(whole file)" : path.toString();
    }

    private static String allowedBy(JsonMappingException e) {
        if (e instanceof UnrecognizedPropertyException unknown) {
            return "is not known; allowed: " + unknown.getKnownPropertyIds();
        }
        if (e instanceof InvalidFormatException bad && bad.getTargetType().isEnum()) {
            String names = Arrays.toString(bad.getTargetType().getEnumConstants());
            return "must be one of " + names.toLowerCase(Locale.ROOT);
        }
        return oneLine(e);
    }

    private static String oneLine(JacksonException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("cannot be read");
    }
}
