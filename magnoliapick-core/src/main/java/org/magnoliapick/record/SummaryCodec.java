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

/** Encodes summary batches as JSON and decodes them. */
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
            throw new IllegalStateException("Cannot serialize the JSON tree of a summary batch", e);
        }
    }

    static Optional<SummaryBatch> decode(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node != null && node.isObject()
                    ? Optional.of(decodeBatch(node))
                    : Optional.empty();
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static SummaryBatch decodeBatch(JsonNode node) {
        Map<WorkspaceId, WorkspaceSummary> workspaces = new HashMap<>();
        node.path("workspaces")
                .properties()
                .forEach(
                        e ->
                                workspaces.put(
                                        new WorkspaceId(e.getKey()), decodeSummary(e.getValue())));
        return new SummaryBatch(
                new InstanceId(node.path("instance").asText()),
                decodeRange(node.path("fromMillis"), node.path("toMillis")),
                node.path("configOffset").asLong(-1),
                workspaces);
    }

    private static ObjectNode encode(WorkspaceSummary summary) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("admitted", summary.admitted());
        node.put("ended", summary.ended());
        node.put("usedUnits", summary.usedUnits());
        node.set("waitedMillis", encodeLongs(summary.waitedMillis(), Cause::wireName));
        node.set("aheadMillis", encodeLongs(summary.aheadMillis(), WorkspaceId::value));
        node.set("refused", encodeLongs(summary.refused(), Cause::wireName));
        ArrayNode backlogged = node.putArray("backlogged");
        summary.backlogged()
                .forEach(it -> backlogged.addArray().add(it.fromMillis()).add(it.toMillis()));
        ObjectNode levels = node.putObject("levels");
        summary.levels().forEach((key, counts) -> levels.set(key.wireName(), encode(counts)));
        return node;
    }

    private static WorkspaceSummary decodeSummary(JsonNode node) {
        List<TimeRange> backlogged = new ArrayList<>();
        node.path("backlogged").forEach(it -> backlogged.add(decodeRange(it.path(0), it.path(1))));
        Map<RequestClass, LevelCounts> levels = new EnumMap<>(RequestClass.class);
        node.path("levels")
                .properties()
                .forEach(
                        e ->
                                RequestClass.ofWireName(e.getKey())
                                        .ifPresent(
                                                it -> levels.put(it, decodeCounts(e.getValue()))));
        return new WorkspaceSummary(
                node.path("admitted").asLong(),
                node.path("ended").asLong(),
                node.path("usedUnits").asDouble(),
                decodeLongs(node.path("waitedMillis"), Cause::ofWireName),
                decodeLongs(node.path("aheadMillis"), name -> Optional.of(new WorkspaceId(name))),
                decodeLongs(node.path("refused"), Cause::ofWireName),
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

    private static LevelCounts decodeCounts(JsonNode node) {
        int next = 0;
        return new LevelCounts(
                node.path(next++).asLong(),
                node.path(next++).asLong(),
                node.path(next++).asLong(),
                node.path(next++).asLong(),
                node.path(next++).asLong(),
                node.path(next).asLong());
    }

    private static TimeRange decodeRange(JsonNode from, JsonNode to) {
        return new TimeRange(from.asLong(), to.asLong());
    }

    private static <K> ObjectNode encodeLongs(Map<K, Long> map, Function<K, String> name) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        map.forEach((key, value) -> node.put(name.apply(key), value));
        return node;
    }

    private static <K> Map<K, Long> decodeLongs(JsonNode node, Function<String, Optional<K>> key) {
        Map<K, Long> map = new HashMap<>();
        node.properties()
                .forEach(
                        e ->
                                key.apply(e.getKey())
                                        .ifPresent(it -> map.put(it, e.getValue().asLong())));
        return map;
    }
}
