package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.magnoliapick.lib.TargetKind;

/** The values that a setting may have. */
public enum SettingRule {
    /** A share relative to the siblings. */
    WEIGHT("a number above 0 and at most 1000000") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return positive(value, MAX_WEIGHT);
        }
    },
    /** A number of requests. */
    COUNT("a whole number from 1 to 1000000") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return whole(value, 1, MAX_COUNT);
        }
    },
    /** A time in milliseconds. */
    MILLIS("a whole number of milliseconds from 1 to 86400000") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return whole(value, 1, MAX_MILLIS);
        }
    },
    /** A share of requests. */
    RATIO("a number above 0 and below 1") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return positive(value, Math.nextDown(1.0));
        }
    },
    /** The hash of a key. */
    SHA256("a SHA-256 hash as 64 hexadecimal digits in lower case") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return text(value, SHA256_HEX);
        }
    },
    /** What an operator may do. */
    ROLE("read, change or administer") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return Role.ofWireName(value.asText()).isPresent()
                    ? text(value, NAME)
                    : Optional.empty();
        }
    },
    /** The kind of a target. */
    TARGET_KIND("model or service") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return targetKind(value.asText()).isPresent() ? text(value, NAME) : Optional.empty();
        }
    },
    /** A name. */
    TEXT("a text of 1 to 64 letters, digits, dots, hyphens and underscores") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return text(value, NAME);
        }
    },
    /** A set of names. */
    TEXTS("a list of at most 256 different names") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return texts(value);
        }
    },
    /** Yes or no. */
    FLAG("true or false") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return value.isBoolean()
                    ? Optional.of(BooleanNode.valueOf(value.booleanValue()))
                    : Optional.empty();
        }
    };

    private static final double MAX_WEIGHT = 1_000_000;
    private static final long MAX_COUNT = 1_000_000;
    private static final long MAX_MILLIS = 86_400_000;
    private static final int MAX_TEXTS = 256;
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private final String mAllowed;

    SettingRule(String allowed) {
        mAllowed = allowed;
    }

    /** Returns the values allowed, as a phrase for people. */
    public String allowedValues() {
        return mAllowed;
    }

    /** Returns the value in its one stored form, or empty where it is not allowed. */
    abstract Optional<JsonNode> canonical(JsonNode value);

    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    static Optional<TargetKind> targetKind(String name) {
        for (TargetKind kind : List.of(TargetKind.values())) {
            if (kind.name().equalsIgnoreCase(name) && name.equals(name.toLowerCase(Locale.ROOT))) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    private static Optional<JsonNode> positive(JsonNode value, double max) {
        if (!value.isNumber()) {
            return Optional.empty();
        }
        double number = value.doubleValue();
        return number > 0 && number <= max
                ? Optional.of(DoubleNode.valueOf(number))
                : Optional.empty();
    }

    private static Optional<JsonNode> whole(JsonNode value, long min, long max) {
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            return Optional.empty();
        }
        long number = value.longValue();
        return number >= min && number <= max
                ? Optional.of(LongNode.valueOf(number))
                : Optional.empty();
    }

    private static Optional<JsonNode> text(JsonNode value, Pattern pattern) {
        return value.isTextual() && pattern.matcher(value.textValue()).matches()
                ? Optional.of(TextNode.valueOf(value.textValue()))
                : Optional.empty();
    }

    private static Optional<JsonNode> texts(JsonNode value) {
        if (!value.isArray() || value.size() > MAX_TEXTS) {
            return Optional.empty();
        }
        TreeSet<String> names = new TreeSet<>();
        for (JsonNode element : value) {
            if (text(element, NAME).isEmpty() || !names.add(element.textValue())) {
                return Optional.empty();
            }
        }
        ArrayNode sorted = JsonNodeFactory.instance.arrayNode();
        names.forEach(sorted::add);
        return Optional.of(sorted);
    }
}
