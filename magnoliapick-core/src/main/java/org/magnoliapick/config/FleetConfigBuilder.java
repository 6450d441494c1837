package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.WorkspaceId;

/**
 * Builds the typed view from the current settings. An entity is a team, workspace, operator,
 * target, engine order or upstream.
 */
final class FleetConfigBuilder {
    private static final String FLEET_PREFIX = "fleet/";
    private static final String OBJECTIVES_PREFIX = "objectives/";
    private static final int SECOND_SEGMENT = 1;
    private static final int THIRD_SEGMENT = 2;
    private static final int FOURTH_SEGMENT = 3;

    private final long mOffset;
    private final Map<String, Double> mTeamWeights = new HashMap<>();
    private final Map<WorkspaceId, WorkspaceConfig> mWorkspaces = new HashMap<>();
    private final Map<String, TargetConfig> mTargets = new HashMap<>();
    private final Map<WorkspaceId, Map<RequestClass, Objective>> mObjectives = new HashMap<>();
    private final Map<String, OrderConfig> mOrders = new HashMap<>();
    private final List<OperatorConfig> mOperators = new ArrayList<>();
    private final Set<String> mDraining = new HashSet<>();

    FleetConfigBuilder(long offset) {
        mOffset = offset;
    }

    FleetConfig build(SortedMap<String, Setting> settings) {
        String entityPath = "";
        SortedMap<String, Setting> entitySettings = new TreeMap<>();
        // The settings of an entity share a path prefix, so they are adjacent in the sorted map.
        for (Map.Entry<String, Setting> each : settings.entrySet()) {
            String path = each.getKey();
            int entityPathLength = entityPathLength(path);
            boolean isSameEntity =
                    entityPath.length() == entityPathLength
                            && path.regionMatches(0, entityPath, 0, entityPathLength);
            if (!isSameEntity) {
                addEntity(entityPath, entitySettings);
                entityPath = path.substring(0, entityPathLength);
                entitySettings = new TreeMap<>();
            }
            entitySettings.put(path.substring(entityPathLength + 1), each.getValue());
        }
        addEntity(entityPath, entitySettings);
        return new FleetConfig(
                mOffset,
                mTeamWeights,
                mWorkspaces,
                mTargets,
                mObjectives,
                mOrders,
                mOperators,
                mDraining);
    }

    /** Returns the length of the part of a path that names the entity it belongs to. */
    private static int entityPathLength(String path) {
        int second = nextSlash(path, nextSlash(path, -1));
        int third = nextSlash(path, second);
        if (third < 0) {
            return second;
        }
        return path.startsWith(FLEET_PREFIX) ? third : nextSlash(path, third);
    }

    private static int nextSlash(String path, int after) {
        return path.indexOf('/', after + 1);
    }

    private void addEntity(String entityPath, SortedMap<String, Setting> settings) {
        if (settings.isEmpty()) {
            // build() has not reached the first entity yet, or there is none.
            return;
        }
        String[] segments = SettingPath.split(entityPath);
        if (segments[0].equals("fleet")) {
            addFleetEntity(segments[SECOND_SEGMENT], segments[THIRD_SEGMENT], settings);
        } else {
            addTeamEntity(segments, settings);
        }
    }

    private void addFleetEntity(String kind, String name, SortedMap<String, Setting> settings) {
        if (kind.equals("targets")) {
            mTargets.put(name, target(name, settings));
        } else if (kind.equals("orders")) {
            mOrders.put(name, order(name, settings));
        } else if (kind.equals("operators")) {
            addOperator(name, Optional.empty(), settings);
        } else if (value(settings, "drain").map(JsonNode::booleanValue).orElse(false)) {
            mDraining.add(name);
        }
    }

    private void addTeamEntity(String[] segments, SortedMap<String, Setting> settings) {
        String team = segments[SECOND_SEGMENT];
        if (segments.length <= THIRD_SEGMENT) {
            value(settings, "weight").ifPresent(it -> mTeamWeights.put(team, it.doubleValue()));
        } else if (segments[THIRD_SEGMENT].equals("operators")) {
            addOperator(segments[FOURTH_SEGMENT], Optional.of(team), settings);
        } else {
            addWorkspace(team, new WorkspaceId(segments[FOURTH_SEGMENT]), settings);
        }
    }

    private void addWorkspace(String team, WorkspaceId id, SortedMap<String, Setting> settings) {
        List<String> keyHashes = new ArrayList<>();
        settings.forEach(
                (path, setting) -> {
                    if (path.startsWith("keys/")) {
                        keyHashes.add(setting.value().textValue());
                    }
                });
        double weight =
                value(settings, "weight")
                        .map(JsonNode::doubleValue)
                        .orElse(FleetConfig.DEFAULT_WEIGHT);
        int maxQueued = intOrDefault(settings, "max-queued", WorkspaceConfig.DEFAULT_MAX_QUEUED);
        mWorkspaces.put(id, new WorkspaceConfig(id, team, weight, keyHashes, maxQueued));
        Map<RequestClass, Objective> objectives = objectives(settings);
        if (!objectives.isEmpty()) {
            mObjectives.put(id, Map.copyOf(objectives));
        }
    }

    private static Map<RequestClass, Objective> objectives(SortedMap<String, Setting> settings) {
        Map<RequestClass, Objective> objectives = new HashMap<>();
        SortedMap<String, Setting> fromPrefix = settings.tailMap(OBJECTIVES_PREFIX);
        if (fromPrefix.isEmpty() || !fromPrefix.firstKey().startsWith(OBJECTIVES_PREFIX)) {
            return objectives;
        }
        for (RequestClass requestClass : RequestClass.values()) {
            String prefix = OBJECTIVES_PREFIX + requestClass.wireName() + "/";
            if (settings.subMap(prefix, prefix + Character.MAX_VALUE).isEmpty()) {
                continue;
            }
            Objective objective =
                    new Objective(
                            millis(settings, prefix + "latency-ms"),
                            millis(settings, prefix + "first-token-ms"),
                            millis(settings, prefix + "token-gap-ms"),
                            value(settings, prefix + "success-ratio")
                                    .map(JsonNode::doubleValue)
                                    .orElse(Objective.DEFAULT_SUCCESS_RATIO));
            objectives.put(requestClass, objective);
        }
        return objectives;
    }

    private void addOperator(
            String name, Optional<String> team, SortedMap<String, Setting> settings) {
        Optional<String> keyHash = value(settings, "sha256").map(JsonNode::textValue);
        if (keyHash.isEmpty()) {
            return;
        }
        Role role =
                value(settings, "role")
                        .flatMap(it -> Role.ofWireName(it.textValue()))
                        .orElse(Role.READ);
        mOperators.add(new OperatorConfig(name, team, keyHash.get(), role));
    }

    private static TargetConfig target(String name, SortedMap<String, Setting> settings) {
        TargetKind kind =
                value(settings, "kind")
                        .flatMap(it -> SettingRule.targetKind(it.textValue()))
                        .orElse(TargetKind.MODEL);
        long defaultGapMillis =
                kind == TargetKind.MODEL ? TargetConfig.DEFAULT_TOKEN_GAP_TARGET_MILLIS : 0;
        return new TargetConfig(
                name,
                kind,
                intOrDefault(settings, "max-concurrent", TargetConfig.DEFAULT_MAX_CONCURRENT),
                millis(settings, "first-token-ms")
                        .orElse(TargetConfig.DEFAULT_FIRST_TOKEN_TARGET_MILLIS),
                millis(settings, "token-gap-ms").orElse(defaultGapMillis));
    }

    private static OrderConfig order(String name, SortedMap<String, Setting> settings) {
        List<String> adapters = new ArrayList<>();
        value(settings, "adapters")
                .ifPresent(list -> list.forEach(it -> adapters.add(it.textValue())));
        long changedAtOffset =
                settings.values().stream().mapToLong(Setting::version).max().orElse(-1);
        return new OrderConfig(
                name,
                value(settings, "version").map(JsonNode::textValue),
                adapters,
                value(settings, "role").map(JsonNode::textValue),
                changedAtOffset);
    }

    private static Optional<JsonNode> value(SortedMap<String, Setting> settings, String path) {
        return Optional.ofNullable(settings.get(path)).map(Setting::value);
    }

    private static Optional<Long> millis(SortedMap<String, Setting> settings, String path) {
        return value(settings, path).map(JsonNode::longValue);
    }

    private static int intOrDefault(
            SortedMap<String, Setting> settings, String path, int defaultValue) {
        return value(settings, path).map(JsonNode::intValue).orElse(defaultValue);
    }
}
