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
 * A change of the configuration as it stands in the log.
 *
 * @param id its identifier, chosen by whoever appends it
 * @param author who makes the change
 * @param reason why, in the author's words
 * @param expect the versions that paths must have, by path; -1 for a path that must not exist
 * @param set the values to set, by path
 * @param unset the paths to remove, each with all below it
 * @param replaceAfter for an entry whose values are to be the whole configuration, whatever came
 *     before: the end of the log that its author saw; -1 for other entries
 */
public record ConfigEntry(
        String id,
        String author,
        String reason,
        Map<String, Long> expect,
        Map<String, JsonNode> set,
        List<String> unset,
        long replaceAfter) {
    /** The largest entry, in bytes. */
    public static final int MAX_BYTES = 262_144;

    private static final int MAX_TEXT_CHARS = 1_000;
    private static final Set<String> FIELDS =
            Set.of("id", "author", "reason", "expect", "set", "unset", "replaceAfter");

    /** Copies the changes. */
    public ConfigEntry {
        expect = Collections.unmodifiableMap(new TreeMap<>(expect));
        set = Collections.unmodifiableMap(new TreeMap<>(set));
        unset = List.copyOf(unset);
    }

    /** What reading bytes gave: an entry, or a fault with as much of the head as was readable. */
    record Decoded(Optional<ConfigEntry> entry, String id, String author, String fault) {}

    /** Returns the bytes to append to the log. */
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

    /** Returns whether the entry sets the whole configuration, whatever came before. */
    public boolean isReplacement() {
        return replaceAfter >= 0;
    }

    /** Returns whether bytes of the log are an entry that sets the whole configuration. */
    public static boolean isReplacement(byte[] bytes) {
        return decode(bytes).entry().map(ConfigEntry::isReplacement).orElse(false);
    }

    /** Reads any bytes; never throws. */
    static Decoded decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            return unreadable("", "", "The entry has more than " + MAX_BYTES + " bytes");
        }
        Optional<JsonNode> read = ConfigJson.readObject(bytes);
        if (read.isEmpty()) {
            return unreadable("", "", "The entry is not one JSON object");
        }
        JsonNode node = read.get();
        String id = headText(node, "id");
        String author = headText(node, "author");
        Optional<String> fault = headFault(node, id, author).or(() -> bodyFault(node));
        if (fault.isPresent()) {
            return unreadable(id, author, fault.get());
        }
        ConfigEntry entry =
                new ConfigEntry(
                        id,
                        author,
                        headText(node, "reason"),
                        members(node.path("expect"), JsonNode::longValue),
                        members(node.path("set"), Function.identity()),
                        texts(node.path("unset")),
                        node.path("replaceAfter").asLong(-1));
        return new Decoded(Optional.of(entry), id, author, "");
    }

    private static Decoded unreadable(String id, String author, String fault) {
        return new Decoded(Optional.empty(), id, author, fault);
    }

    private static String headText(JsonNode node, String field) {
        JsonNode value = node.path(field);
        boolean isShort = value.isTextual() && value.textValue().length() <= MAX_TEXT_CHARS;
        return isShort ? ConfigJson.wellFormed(value.textValue()) : "";
    }

    private static Optional<String> headFault(JsonNode node, String id, String author) {
        if (id.isBlank()) {
            return Optional.of("id must be a text of 1 to " + MAX_TEXT_CHARS + " characters");
        }
        if (author.isBlank()) {
            return Optional.of("author must be a text of 1 to " + MAX_TEXT_CHARS + " characters");
        }
        for (String field : (Iterable<String>) node::fieldNames) {
            if (!FIELDS.contains(field)) {
                return Optional.of("Unknown field " + shortened(field));
            }
        }
        JsonNode reason = node.path("reason");
        boolean isReason = reason.isMissingNode() || !headText(node, "reason").isEmpty();
        if (!isReason && !(reason.isTextual() && reason.textValue().isEmpty())) {
            return Optional.of("reason must be a text of at most " + MAX_TEXT_CHARS);
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

    private static <T> Map<String, T> members(JsonNode node, Function<JsonNode, T> reader) {
        Map<String, T> members = new TreeMap<>();
        node.properties().forEach(e -> members.put(e.getKey(), reader.apply(e.getValue())));
        return members;
    }

    private static List<String> texts(JsonNode node) {
        List<String> texts = new ArrayList<>();
        node.forEach(element -> texts.add(element.textValue()));
        return texts;
    }

    private static String shortened(String text) {
        final int shownChars = 100;
        return text.length() <= shownChars ? text : text.substring(0, shownChars) + "...";
    }
}
