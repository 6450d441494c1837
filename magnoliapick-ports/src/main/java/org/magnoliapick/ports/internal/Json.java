package org.magnoliapick.ports.internal;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.magnoliapick.ports.AttemptFailure;

/** Reads JSON strictly: a missing field or a field of another type is a malformed answer. */
final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private Json() {}

    static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Parses one JSON object. */
    static JsonNode parseObject(byte[] bytes) throws ExchangeException {
        JsonNode node = parse(bytes);
        if (!node.isObject()) {
            throw malformed("an object");
        }
        return node;
    }

    private static JsonNode parse(byte[] bytes) throws ExchangeException {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new ExchangeException(AttemptFailure.MALFORMED, "The answer is not JSON");
        }
    }

    static long longAt(JsonNode node, String field) throws ExchangeException {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw malformed("a whole number in " + field);
        }
        return value.longValue();
    }

    static int intAt(JsonNode node, String field) throws ExchangeException {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            throw malformed("a whole number in " + field);
        }
        return value.intValue();
    }

    static double doubleAt(JsonNode node, String field) throws ExchangeException {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw malformed("a number in " + field);
        }
        return value.doubleValue();
    }

    static String textAt(JsonNode node, String field) throws ExchangeException {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw malformed("text in " + field);
        }
        return value.textValue();
    }

    static boolean booleanAt(JsonNode node, String field) throws ExchangeException {
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            throw malformed("true or false in " + field);
        }
        return value.booleanValue();
    }

    static JsonNode arrayAt(JsonNode node, String field) throws ExchangeException {
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            throw malformed("a list in " + field);
        }
        return value;
    }

    static List<String> textsAt(JsonNode node, String field) throws ExchangeException {
        List<String> texts = new ArrayList<>();
        for (JsonNode value : arrayAt(node, field)) {
            if (!value.isTextual()) {
                throw malformed("texts in " + field);
            }
            texts.add(value.textValue());
        }
        return texts;
    }

    static List<Long> longsAt(JsonNode node, String field) throws ExchangeException {
        List<Long> numbers = new ArrayList<>();
        for (JsonNode value : arrayAt(node, field)) {
            if (!value.isIntegralNumber() || !value.canConvertToLong()) {
                throw malformed("whole numbers in " + field);
            }
            numbers.add(value.longValue());
        }
        return numbers;
    }

    static ExchangeException malformed(String expected) {
        return new ExchangeException(
                AttemptFailure.MALFORMED, "The answer was expected to have " + expected);
    }
}
