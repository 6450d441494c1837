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

/** Validates the values of a setting and converts them to canonical form. */
public enum SettingRule {
    /** A share relative to the sibling teams or workspaces. */
    WEIGHT("a number above 0 and at most 1000000") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return positiveNumber(value, MAX_WEIGHT);
        }
    },
    /** A number of requests. */
    COUNT("a whole number from 1 to 1000000") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return integer(value, 1, MAX_COUNT);
        }
    },
    /** A duration in milliseconds. */
    MILLIS("a whole number of milliseconds from 1 to 86400000") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return integer(value, 1, MAX_MILLIS);
        }
    },
    /** A ratio of requests. */
    RATIO("a number above 0 and below 1") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return positiveNumber(value, Math.nextDown(1.0));
        }
    },
    /** The SHA-256 hash of a key. */
    SHA256("a SHA-256 hash as 64 hexadecimal digits in lower case") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return text(value, SHA256_HEX);
        }
    },
    /** The name of an operator's {@link Role}. */
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
    /** A set of names, sorted in canonical form. */
    TEXTS("a list of at most 256 different names") {
        @Override
        Optional<JsonNode> canonical(JsonNode value) {
            return sortedNames(value);
        }
    },
    /** A boolean. */
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
    private static final int MAX_NAMES = 256;
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private final String mAllowedValues;

    SettingRule(String allowedValues) {
        mAllowedValues = allowedValues;
    }

    /** Returns a description of the allowed values, for error messages and documentation. */
    public String allowedValues() {
        return mAllowedValues;
    }

    /** Returns the canonical form of a value; empty if the value is not allowed. */
    abstract Optional<JsonNode> canonical(JsonNode value);

    /** Returns whether a text is a valid name: 1 to 64 characters, the first a letter or digit. */
    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Returns the target kind with a lower-case name; empty if there is none. */
    static Optional<TargetKind> targetKind(String name) {
        for (TargetKind kind : List.of(TargetKind.values())) {
            if (kind.name().equalsIgnoreCase(name) && name.equals(name.toLowerCase(Locale.ROOT))) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    private static Optional<JsonNode> positiveNumber(JsonNode value, double max) {
        if (!value.isNumber()) {
            return Optional.empty();
        }
        double number = value.doubleValue();
        return number > 0 && number <= max
                ? Optional.of(DoubleNode.valueOf(number))
                : Optional.empty();
    }

    private static Optional<JsonNode> integer(JsonNode value, long min, long max) {
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

    private static Optional<JsonNode> sortedNames(JsonNode value) {
        if (!value.isArray() || value.size() > MAX_NAMES) {
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
