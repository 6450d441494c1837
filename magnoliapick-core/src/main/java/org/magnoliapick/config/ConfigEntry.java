package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * A configuration change as stored in the log.
 *
 * @param id the entry's identifier, chosen by the process that appends it
 * @param author who makes the change
 * @param reason the author's reason for the change; may be empty
 * @param expect the required current version of each path; -1 for a path that must not exist
 * @param set the values to set, by path
 * @param unset the paths to remove, each with its subtree
 * @param replaceAfter for an entry whose values replace the whole configuration, regardless of all
 *     earlier entries: the end of the log as seen by its author; -1 for other entries
 */
public record ConfigEntry(
        String id,
        String author,
        String reason,
        Map<String, Long> expect,
        Map<String, JsonNode> set,
        List<String> unset,
        long replaceAfter) {
    /** The maximum size of an encoded entry, in bytes. */
    public static final int MAX_BYTES = 262_144;

    private static final int MAX_FIELD_CHARS = 1_000;
    private static final Set<String> FIELDS =
            Set.of("id", "author", "reason", "expect", "set", "unset", "replaceAfter");

    public ConfigEntry {
        expect = Collections.unmodifiableMap(new TreeMap<>(expect));
        set = Collections.unmodifiableMap(new TreeMap<>(set));
        unset = List.copyOf(unset);
    }

    /**
     * The result of decoding an entry: the entry, or a fault together with the identifier and
     * author if they were readable.
     *
     * @param entry the entry; empty if the bytes are not a valid entry
     * @param id the entry's identifier; empty if not readable
     * @param author the entry's author; empty if not readable
     * @param fault why the bytes are not a valid entry; empty if they are
     */
    record Decoded(Optional<ConfigEntry> entry, String id, String author, String fault) {}

    /** Returns the entry as JSON bytes to append to the log. */
    public byte[] encode() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", id);
        node.put("author", author);
        node.put("reason", reason);
        ObjectNode expectNode = node.putObject("expect");
        expect.forEach(expectNode::put);
        ObjectNode setNode = node.putObject("set");
        set.forEach(setNode::set);
        unset.forEach(node.putArray("unset")::add);
        if (isReplacement()) {
            node.put("replaceAfter", replaceAfter);
        }
        return ConfigJson.write(node);
    }

    /** Returns whether the entry replaces the whole configuration. */
    public boolean isReplacement() {
        return replaceAfter >= 0;
    }

    /** Returns whether a log payload is a valid entry that replaces the whole configuration. */
    public static boolean isReplacement(byte[] bytes) {
        return decode(bytes).entry().map(ConfigEntry::isReplacement).orElse(false);
    }

    /** Decodes a log payload. Reports malformed input as a fault instead of throwing. */
    static Decoded decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            return invalid("", "", "The entry has more than " + MAX_BYTES + " bytes");
        }
        Optional<JsonNode> root = ConfigJson.readObject(bytes);
        if (root.isEmpty()) {
            return invalid("", "", "The entry is not one JSON object");
        }
        JsonNode node = root.get();
        String id = shortText(node, "id");
        String author = shortText(node, "author");
        Optional<String> fault = headerFault(node, id, author).or(() -> bodyFault(node));
        if (fault.isPresent()) {
            return invalid(id, author, fault.get());
        }
        ConfigEntry entry =
                new ConfigEntry(
                        id,
                        author,
                        shortText(node, "reason"),
                        toMap(node.path("expect"), JsonNode::longValue),
                        toMap(node.path("set"), Function.identity()),
                        toStrings(node.path("unset")),
                        node.path("replaceAfter").asLong(-1));
        return new Decoded(Optional.of(entry), id, author, "");
    }

    private static Decoded invalid(String id, String author, String fault) {
        return new Decoded(Optional.empty(), id, author, fault);
    }

    /** Returns a text field, or an empty string if it is missing, not a text or too long. */
    private static String shortText(JsonNode node, String field) {
        JsonNode value = node.path(field);
        boolean isShort = value.isTextual() && value.textValue().length() <= MAX_FIELD_CHARS;
        return isShort ? ConfigJson.wellFormed(value.textValue()) : "";
    }

    private static Optional<String> headerFault(JsonNode node, String id, String author) {
        if (id.isBlank()) {
            return Optional.of("id must be a text of 1 to " + MAX_FIELD_CHARS + " characters");
        }
        if (author.isBlank()) {
            return Optional.of("author must be a text of 1 to " + MAX_FIELD_CHARS + " characters");
        }
        for (String field : (Iterable<String>) node::fieldNames) {
            if (!FIELDS.contains(field)) {
                return Optional.of("Unknown field " + abbreviated(field));
            }
        }
        JsonNode reason = node.path("reason");
        boolean isReasonValid = reason.isMissingNode() || !shortText(node, "reason").isEmpty();
        if (!isReasonValid && !(reason.isTextual() && reason.textValue().isEmpty())) {
            return Optional.of("reason must be a text of at most " + MAX_FIELD_CHARS);
        }
        return Optional.empty();
    }

    private static Optional<String> bodyFault(JsonNode node) {
        if (!isAbsentOr(node.path("expect"), JsonNode::isObject)
                || !allMatch(
                        node.path("expect"),
                        value -> value.isIntegralNumber() && value.canConvertToLong())) {
            return Optional.of("expect must map paths to whole numbers");
        }
        if (!isAbsentOr(node.path("set"), JsonNode::isObject)) {
            return Optional.of("set must map paths to values");
        }
        if (!isAbsentOr(node.path("unset"), JsonNode::isArray)
                || !allMatch(node.path("unset"), JsonNode::isTextual)) {
            return Optional.of("unset must be a list of paths");
        }
        if (!isAbsentOr(
                node.path("replaceAfter"), it -> it.canConvertToLong() && it.longValue() >= 0)) {
            return Optional.of("replaceAfter must be a log offset");
        }
        if (node.path("set").isEmpty() && node.path("unset").isEmpty()) {
            return Optional.of("The entry changes nothing: set and unset are empty");
        }
        return Optional.empty();
    }

    private static boolean isAbsentOr(JsonNode node, Function<JsonNode, Boolean> check) {
        return node.isMissingNode() || check.apply(node);
    }

    private static boolean allMatch(JsonNode container, Function<JsonNode, Boolean> check) {
        for (JsonNode element : container) {
            if (!check.apply(element)) {
                return false;
            }
        }
        return true;
    }

    private static <T> Map<String, T> toMap(JsonNode node, Function<JsonNode, T> reader) {
        Map<String, T> members = new TreeMap<>();
        node.properties().forEach(e -> members.put(e.getKey(), reader.apply(e.getValue())));
        return members;
    }

    private static List<String> toStrings(JsonNode node) {
        List<String> texts = new ArrayList<>();
        node.forEach(element -> texts.add(element.textValue()));
        return texts;
    }

    private static String abbreviated(String text) {
        final int maxShownChars = 100;
        return text.length() <= maxShownChars ? text : text.substring(0, maxShownChars) + "...";
    }
}
