package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.magnoliapick.lib.RequestClass;

/** The closed table of setting paths. A name in braces stands for one segment of a path. */
public enum SettingPath {
    /** A team's share relative to the other teams. */
    TEAM_WEIGHT("teams/{team}/weight", SettingRule.WEIGHT, Role.CHANGE),
    /** A workspace's share relative to the other workspaces of its team. */
    WORKSPACE_WEIGHT("teams/{team}/workspaces/{workspace}/weight", SettingRule.WEIGHT, Role.CHANGE),
    /** The most requests of a workspace that may wait in one instance. */
    WORKSPACE_MAX_QUEUED(
            "teams/{team}/workspaces/{workspace}/max-queued", SettingRule.COUNT, Role.CHANGE),
    /** The hash of a key that names a workspace. */
    WORKSPACE_KEY(
            "teams/{team}/workspaces/{workspace}/keys/{key}/sha256",
            SettingRule.SHA256,
            Role.ADMINISTER),
    /** The wanted time to the whole answer. */
    OBJECTIVE_LATENCY(
            "teams/{team}/workspaces/{workspace}/objectives/{class}/latency-ms",
            SettingRule.MILLIS,
            Role.CHANGE),
    /** The wanted time to the first token. */
    OBJECTIVE_FIRST_TOKEN(
            "teams/{team}/workspaces/{workspace}/objectives/{class}/first-token-ms",
            SettingRule.MILLIS,
            Role.CHANGE),
    /** The wanted time between tokens. */
    OBJECTIVE_TOKEN_GAP(
            "teams/{team}/workspaces/{workspace}/objectives/{class}/token-gap-ms",
            SettingRule.MILLIS,
            Role.CHANGE),
    /** The wanted share of requests that meet the other objectives. */
    OBJECTIVE_SUCCESS(
            "teams/{team}/workspaces/{workspace}/objectives/{class}/success-ratio",
            SettingRule.RATIO,
            Role.CHANGE),
    /** The hash of the key of a team's operator. */
    TEAM_OPERATOR_KEY(
            "teams/{team}/operators/{operator}/sha256", SettingRule.SHA256, Role.ADMINISTER),
    /** What a team's operator may do in the team's subtree. */
    TEAM_OPERATOR_ROLE("teams/{team}/operators/{operator}/role", SettingRule.ROLE, Role.ADMINISTER),
    /** The hash of the key of an operator of the whole fleet. */
    FLEET_OPERATOR_KEY("fleet/operators/{operator}/sha256", SettingRule.SHA256, Role.ADMINISTER),
    /** What an operator of the whole fleet may do. */
    FLEET_OPERATOR_ROLE("fleet/operators/{operator}/role", SettingRule.ROLE, Role.ADMINISTER),
    /** Whether a target is a model or a plain service. */
    TARGET_KIND("fleet/targets/{target}/kind", SettingRule.TARGET_KIND, Role.CHANGE),
    /** The most requests of a target that one upstream may run at once. */
    TARGET_MAX_CONCURRENT("fleet/targets/{target}/max-concurrent", SettingRule.COUNT, Role.CHANGE),
    /** The wanted time to the first token of a target. */
    TARGET_FIRST_TOKEN("fleet/targets/{target}/first-token-ms", SettingRule.MILLIS, Role.CHANGE),
    /** The wanted time between tokens of a target. */
    TARGET_TOKEN_GAP("fleet/targets/{target}/token-gap-ms", SettingRule.MILLIS, Role.CHANGE),
    /** The version of a model that engines have to load. */
    ORDER_VERSION("fleet/orders/{target}/version", SettingRule.TEXT, Role.CHANGE),
    /** The adapters of a model that engines have to load. */
    ORDER_ADAPTERS("fleet/orders/{target}/adapters", SettingRule.TEXTS, Role.CHANGE),
    /** The role that engines of a model have to take. */
    ORDER_ROLE("fleet/orders/{target}/role", SettingRule.TEXT, Role.CHANGE),
    /** Whether an upstream gets no new work. */
    UPSTREAM_DRAIN("fleet/upstreams/{upstream}/drain", SettingRule.FLAG, Role.CHANGE);

    private static final String CLASS_SEGMENT = "{class}";

    private final String mPattern;
    private final String[] mSegments;
    private final SettingRule mRule;
    private final Role mNeededRole;

    SettingPath(String pattern, SettingRule rule, Role neededRole) {
        mPattern = pattern;
        mSegments = split(pattern);
        mRule = rule;
        mNeededRole = neededRole;
    }

    /** Returns the path with names in braces where a segment varies. */
    public String pattern() {
        return mPattern;
    }

    /** Returns the values that the setting may have. */
    public SettingRule rule() {
        return mRule;
    }

    /** Returns the role that an operator needs to change the setting. */
    public Role requiredRole() {
        return mNeededRole;
    }

    /** Finds the row of the table that a full path belongs to. */
    public static Optional<SettingPath> of(String path) {
        String[] segments = split(path);
        for (SettingPath candidate : values()) {
            if (candidate.matches(segments, candidate.mSegments.length)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a path is the beginning of one of the table, or a full one. */
    public static boolean isPrefix(String path) {
        String[] segments = split(path);
        return Arrays.stream(values()).anyMatch(row -> row.matches(segments, segments.length));
    }

    /** Returns the patterns of the table that are possible below the given path. */
    public static List<String> suggestPatterns(String path) {
        String first = split(path)[0];
        List<String> near =
                Arrays.stream(values())
                        .filter(row -> row.mSegments[0].equals(first))
                        .map(SettingPath::pattern)
                        .collect(Collectors.toList());
        return near.isEmpty() ? List.of("teams/{team}/...", "fleet/...") : near;
    }

    /** Returns the stored form of a value, or empty where it is not allowed. */
    Optional<JsonNode> canonical(JsonNode value) {
        return mRule.canonical(value);
    }

    private boolean matches(String[] segments, int comparedSegments) {
        if (segments.length > mSegments.length || segments.length < comparedSegments) {
            return false;
        }
        for (int i = 0; i < segments.length; i++) {
            if (!matchesSegment(mSegments[i], segments[i])) {
                return false;
            }
        }
        return true;
    }

    private static boolean matchesSegment(String pattern, String segment) {
        if (pattern.equals(CLASS_SEGMENT)) {
            return RequestClass.ofWireName(segment).isPresent();
        }
        return pattern.startsWith("{") ? SettingRule.isName(segment) : pattern.equals(segment);
    }

    /** Splits a path into its segments; empty segments are kept, so that they match nothing. */
    static String[] split(String path) {
        return path.split("/", -1);
    }
}
