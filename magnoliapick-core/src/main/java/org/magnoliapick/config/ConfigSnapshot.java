package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Encodes a configuration state as JSON bytes and decodes it. */
final class ConfigSnapshot {
    private static final int FORMAT_VERSION = 1;

    private ConfigSnapshot() {}

    static byte[] encode(ConfigState state) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("format", FORMAT_VERSION);
        node.put("asOfOffset", state.offset());
        node.put("replacedAtOffset", state.replacedAtOffset());
        ObjectNode settings = node.putObject("settings");
        state.subtree("")
                .forEach(
                        (path, setting) ->
                                settings.putArray(path)
                                        .add(setting.value())
                                        .add(setting.version()));
        ObjectNode innerVersions = node.putObject("innerVersions");
        state.innerVersions().forEach(innerVersions::put);
        for (HistoryEntry entry : state.history()) {
            node.withArray("history").add(encode(entry));
        }
        for (RejectedEntry entry : state.rejected()) {
            node.withArray("rejected").add(encode(entry));
        }
        return ConfigJson.write(node);
    }

    static Optional<ConfigState> decode(byte[] bytes) {
        return ConfigJson.readObject(bytes).flatMap(ConfigSnapshot::decode);
    }

    private static Optional<ConfigState> decode(JsonNode node) {
        if (node.path("format").asInt() != FORMAT_VERSION
                || !node.path("asOfOffset").canConvertToLong()) {
            return Optional.empty();
        }
        Optional<Map<String, Setting>> settings = decodeSettings(node.path("settings"));
        if (settings.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Long> innerVersions = new TreeMap<>();
        node.path("innerVersions")
                .properties()
                .forEach(each -> innerVersions.put(each.getKey(), each.getValue().longValue()));
        Deque<HistoryEntry> history = new ArrayDeque<>();
        node.path("history").forEach(each -> history.add(decodeHistoryEntry(each)));
        Deque<RejectedEntry> rejected = new ArrayDeque<>();
        node.path("rejected").forEach(each -> rejected.add(decodeRejectedEntry(each)));
        return Optional.of(
                new ConfigState(
                        ConfigTree.of(settings.get(), innerVersions),
                        node.path("asOfOffset").longValue(),
                        node.path("replacedAtOffset").asLong(-1),
                        history,
                        rejected));
    }

    /** Decodes the settings; empty if any path or value is not allowed. */
    private static Optional<Map<String, Setting>> decodeSettings(JsonNode node) {
        Map<String, Setting> settings = new TreeMap<>();
        for (Map.Entry<String, JsonNode> each : node.properties()) {
            Optional<JsonNode> value =
                    SettingPath.of(each.getKey())
                            .flatMap(settingPath -> settingPath.canonical(each.getValue().path(0)));
            if (value.isEmpty()) {
                return Optional.empty();
            }
            long version = each.getValue().path(1).longValue();
            settings.put(each.getKey(), new Setting(value.get(), version));
        }
        return Optional.of(settings);
    }

    private static ObjectNode encode(HistoryEntry entry) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("offset", entry.offset());
        node.put("appendedAtMillis", entry.appendedAtMillis());
        node.put("id", entry.id());
        node.put("author", entry.author());
        node.put("reason", entry.reason());
        ObjectNode set = node.putObject("set");
        entry.set().forEach(set::set);
        entry.unset().forEach(node.putArray("unset")::add);
        return node;
    }

    private static HistoryEntry decodeHistoryEntry(JsonNode node) {
        Map<String, JsonNode> set = new TreeMap<>();
        node.path("set").properties().forEach(e -> set.put(e.getKey(), e.getValue()));
        List<String> unset = new ArrayList<>();
        node.path("unset").forEach(path -> unset.add(path.asText()));
        return new HistoryEntry(
                node.path("offset").longValue(),
                node.path("appendedAtMillis").longValue(),
                node.path("id").asText(),
                node.path("author").asText(),
                node.path("reason").asText(),
                set,
                unset);
    }

    private static ObjectNode encode(RejectedEntry entry) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("offset", entry.offset());
        node.put("appendedAtMillis", entry.appendedAtMillis());
        node.put("id", entry.id());
        node.put("author", entry.author());
        node.put("kind", entry.fault().kind().name());
        node.put("path", entry.fault().path());
        node.put("reason", entry.fault().reason());
        node.put("currentVersion", entry.fault().currentVersion());
        return node;
    }

    private static RejectedEntry decodeRejectedEntry(JsonNode node) {
        EntryFault.Kind kind =
                node.path("kind").asText().equals(EntryFault.Kind.CONFLICT.name())
                        ? EntryFault.Kind.CONFLICT
                        : EntryFault.Kind.INVALID;
        EntryFault fault =
                new EntryFault(
                        kind,
                        node.path("path").asText(),
                        node.path("reason").asText(),
                        node.path("currentVersion").longValue());
        return new RejectedEntry(
                node.path("offset").longValue(),
                node.path("appendedAtMillis").longValue(),
                node.path("id").asText(),
                node.path("author").asText(),
                fault);
    }
}
