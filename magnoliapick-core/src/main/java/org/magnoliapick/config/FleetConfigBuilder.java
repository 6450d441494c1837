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

/** Builds the typed view from the settings in force. */
final class FleetConfigBuilder {
    private static final String FLEET_PREFIX = "fleet/";
    private static final String OBJECTIVES_PREFIX = "objectives/";
    private static final int NAME_SEGMENT = 1;
    private static final int GROUP_SEGMENT = 2;
    private static final int MEMBER_SEGMENT = 3;

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
        String group = "";
        SortedMap<String, Setting> members = new TreeMap<>();
        // The settings of a group share a prefix, so they stand side by side.
        for (Map.Entry<String, Setting> each : settings.entrySet()) {
            String path = each.getKey();
            int groupChars = groupChars(path);
            boolean isSameGroup =
                    group.length() == groupChars && path.regionMatches(0, group, 0, groupChars);
            if (!isSameGroup) {
                addGroup(group, members);
                group = path.substring(0, groupChars);
                members = new TreeMap<>();
            }
            members.put(path.substring(groupChars + 1), each.getValue());
        }
        addGroup(group, members);
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

    /** Returns the length of the path of the team, workspace, operator, target or upstream. */
    private static int groupChars(String path) {
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

    private void addGroup(String group, SortedMap<String, Setting> settings) {
        if (settings.isEmpty()) {
            return;
        }
        String[] segments = SettingPath.split(group);
        if (segments[0].equals("fleet")) {
            addFleetGroup(segments[NAME_SEGMENT], segments[GROUP_SEGMENT], settings);
        } else {
            addTeamGroup(segments, settings);
        }
    }

    private void addFleetGroup(String kind, String name, SortedMap<String, Setting> settings) {
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

    private void addTeamGroup(String[] segments, SortedMap<String, Setting> settings) {
        String team = segments[NAME_SEGMENT];
        if (segments.length <= GROUP_SEGMENT) {
            value(settings, "weight").ifPresent(it -> mTeamWeights.put(team, it.doubleValue()));
        } else if (segments[GROUP_SEGMENT].equals("operators")) {
            addOperator(segments[MEMBER_SEGMENT], Optional.of(team), settings);
        } else {
            addWorkspace(team, new WorkspaceId(segments[MEMBER_SEGMENT]), settings);
        }
    }

    private void addWorkspace(String team, WorkspaceId id, SortedMap<String, Setting> settings) {
        List<String> hashes = new ArrayList<>();
        settings.forEach(
                (path, setting) -> {
                    if (path.startsWith("keys/")) {
                        hashes.add(setting.value().textValue());
                    }
                });
        double weight =
                value(settings, "weight")
                        .map(JsonNode::doubleValue)
                        .orElse(FleetConfig.DEFAULT_WEIGHT);
        int maxQueued = whole(settings, "max-queued", WorkspaceConfig.DEFAULT_MAX_QUEUED);
        mWorkspaces.put(id, new WorkspaceConfig(id, team, weight, hashes, maxQueued));
        Map<RequestClass, Objective> objectives = objectives(settings);
        if (!objectives.isEmpty()) {
            mObjectives.put(id, Map.copyOf(objectives));
        }
    }

    private static Map<RequestClass, Objective> objectives(SortedMap<String, Setting> settings) {
        Map<RequestClass, Objective> objectives = new HashMap<>();
        SortedMap<String, Setting> later = settings.tailMap(OBJECTIVES_PREFIX);
        if (later.isEmpty() || !later.firstKey().startsWith(OBJECTIVES_PREFIX)) {
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
        Optional<String> hash = value(settings, "sha256").map(JsonNode::textValue);
        if (hash.isEmpty()) {
            return;
        }
        Role role =
                value(settings, "role")
                        .flatMap(it -> Role.ofWireName(it.textValue()))
                        .orElse(Role.READ);
        mOperators.add(new OperatorConfig(name, team, hash.get(), role));
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
                whole(settings, "max-concurrent", TargetConfig.DEFAULT_MAX_CONCURRENT),
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

    private static int whole(SortedMap<String, Setting> settings, String path, int otherwise) {
        return value(settings, path).map(JsonNode::intValue).orElse(otherwise);
    }
}
