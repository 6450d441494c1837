package org.magnoliapick.record;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.WorkspaceId;

/** Writes batches of summaries as JSON and reads them back. */
final class SummaryCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private SummaryCodec() {}

    static byte[] encode(SummaryBatch batch) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("instance", batch.instance().value());
        node.put("fromMillis", batch.window().fromMillis());
        node.put("toMillis", batch.window().toMillis());
        node.put("configOffset", batch.configOffset());
        ObjectNode workspaces = node.putObject("workspaces");
        batch.workspaces().forEach((id, each) -> workspaces.set(id.value(), encode(each)));
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A JSON tree can always be written", e);
        }
    }

    static Optional<SummaryBatch> decode(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node != null && node.isObject() ? Optional.of(batch(node)) : Optional.empty();
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static SummaryBatch batch(JsonNode node) {
        Map<WorkspaceId, WorkspaceSummary> workspaces = new HashMap<>();
        node.path("workspaces")
                .properties()
                .forEach(e -> workspaces.put(new WorkspaceId(e.getKey()), summary(e.getValue())));
        return new SummaryBatch(
                new InstanceId(node.path("instance").asText()),
                range(node.path("fromMillis"), node.path("toMillis")),
                node.path("configOffset").asLong(-1),
                workspaces);
    }

    private static ObjectNode encode(WorkspaceSummary summary) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("admitted", summary.admitted());
        node.put("ended", summary.ended());
        node.put("usedUnits", summary.usedUnits());
        node.set("waitedMillis", longs(summary.waitedMillis(), Cause::wireName));
        node.set("aheadMillis", longs(summary.aheadMillis(), WorkspaceId::value));
        node.set("refused", longs(summary.refused(), Cause::wireName));
        ArrayNode backlogged = node.putArray("backlogged");
        summary.backlogged()
                .forEach(it -> backlogged.addArray().add(it.fromMillis()).add(it.toMillis()));
        ObjectNode levels = node.putObject("levels");
        summary.levels().forEach((key, counts) -> levels.set(key.wireName(), encode(counts)));
        return node;
    }

    private static WorkspaceSummary summary(JsonNode node) {
        List<TimeRange> backlogged = new ArrayList<>();
        node.path("backlogged").forEach(it -> backlogged.add(range(it.path(0), it.path(1))));
        Map<RequestClass, LevelCounts> levels = new EnumMap<>(RequestClass.class);
        node.path("levels")
                .properties()
                .forEach(
                        e ->
                                RequestClass.ofWireName(e.getKey())
                                        .ifPresent(it -> levels.put(it, counts(e.getValue()))));
        return new WorkspaceSummary(
                node.path("admitted").asLong(),
                node.path("ended").asLong(),
                node.path("usedUnits").asDouble(),
                longs(node.path("waitedMillis"), Cause::ofWireName),
                longs(node.path("aheadMillis"), name -> Optional.of(new WorkspaceId(name))),
                longs(node.path("refused"), Cause::ofWireName),
                TimeRange.union(backlogged),
                levels);
    }

    private static ArrayNode encode(LevelCounts counts) {
        return JsonNodeFactory.instance
                .arrayNode()
                .add(counts.requests())
                .add(counts.failed())
                .add(counts.late())
                .add(counts.firstTokenLate())
                .add(counts.tokenGapLong())
                .add(counts.missed());
    }

    private static LevelCounts counts(JsonNode node) {
        int next = 0;
        return new LevelCounts(
                node.path(next++).asLong(),
                node.path(next++).asLong(),
                node.path(next++).asLong(),
                node.path(next++).asLong(),
                node.path(next++).asLong(),
                node.path(next).asLong());
    }

    private static TimeRange range(JsonNode from, JsonNode to) {
        return new TimeRange(from.asLong(), to.asLong());
    }

    private static <K> ObjectNode longs(Map<K, Long> map, Function<K, String> name) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        map.forEach((key, value) -> node.put(name.apply(key), value));
        return node;
    }

    private static <K> Map<K, Long> longs(JsonNode node, Function<String, Optional<K>> key) {
        Map<K, Long> map = new HashMap<>();
        node.properties()
                .forEach(
                        e ->
                                key.apply(e.getKey())
                                        .ifPresent(it -> map.put(it, e.getValue().asLong())));
        return map;
    }
}
