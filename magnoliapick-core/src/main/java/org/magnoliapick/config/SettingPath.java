package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.magnoliapick.lib.RequestClass;

/** The supported setting paths. A name in braces is a placeholder for one path segment. */
public enum SettingPath {
    /** The share of a team relative to the other teams. */
    TEAM_WEIGHT("teams/{team}/weight", SettingRule.WEIGHT, Role.CHANGE),
    /** The share of a workspace relative to the other workspaces of its team. */
    WORKSPACE_WEIGHT("teams/{team}/workspaces/{workspace}/weight", SettingRule.WEIGHT, Role.CHANGE),
    /** The maximum number of requests of a workspace queued for one target in one instance. */
    WORKSPACE_MAX_QUEUED(
            "teams/{team}/workspaces/{workspace}/max-queued", SettingRule.COUNT, Role.CHANGE),
    /** The hash of a bearer key that identifies a workspace. */
    WORKSPACE_KEY(
            "teams/{team}/workspaces/{workspace}/keys/{key}/sha256",
            SettingRule.SHA256,
            Role.ADMINISTER),
    /** The target time to the complete response. */
    OBJECTIVE_LATENCY(
            "teams/{team}/workspaces/{workspace}/objectives/{class}/latency-ms",
            SettingRule.MILLIS,
            Role.CHANGE),
    /** The target time to the first token. */
    OBJECTIVE_FIRST_TOKEN(
            "teams/{team}/workspaces/{workspace}/objectives/{class}/first-token-ms",
            SettingRule.MILLIS,
            Role.CHANGE),
    /** The target time between tokens. */
    OBJECTIVE_TOKEN_GAP(
            "teams/{team}/workspaces/{workspace}/objectives/{class}/token-gap-ms",
            SettingRule.MILLIS,
            Role.CHANGE),
    /** The target ratio of requests that meet the other objectives. */
    OBJECTIVE_SUCCESS(
            "teams/{team}/workspaces/{workspace}/objectives/{class}/success-ratio",
            SettingRule.RATIO,
            Role.CHANGE),
    /** The hash of the key of a team's operator. */
    TEAM_OPERATOR_KEY(
            "teams/{team}/operators/{operator}/sha256", SettingRule.SHA256, Role.ADMINISTER),
    /** The permissions of a team's operator in the team's subtree. */
    TEAM_OPERATOR_ROLE("teams/{team}/operators/{operator}/role", SettingRule.ROLE, Role.ADMINISTER),
    /** The hash of the key of an operator of the whole fleet. */
    FLEET_OPERATOR_KEY("fleet/operators/{operator}/sha256", SettingRule.SHA256, Role.ADMINISTER),
    /** The permissions of an operator of the whole fleet. */
    FLEET_OPERATOR_ROLE("fleet/operators/{operator}/role", SettingRule.ROLE, Role.ADMINISTER),
    /** Whether a target is a model or a plain service. */
    TARGET_KIND("fleet/targets/{target}/kind", SettingRule.TARGET_KIND, Role.CHANGE),
    /** The maximum number of concurrent requests of a target per upstream. */
    TARGET_MAX_CONCURRENT("fleet/targets/{target}/max-concurrent", SettingRule.COUNT, Role.CHANGE),
    /** The target time to the first token of a model, or to the response of a service. */
    TARGET_FIRST_TOKEN("fleet/targets/{target}/first-token-ms", SettingRule.MILLIS, Role.CHANGE),
    /** The target time between tokens in the responses of a target. */
    TARGET_TOKEN_GAP("fleet/targets/{target}/token-gap-ms", SettingRule.MILLIS, Role.CHANGE),
    /** The version of a model that its engines are to load. */
    ORDER_VERSION("fleet/orders/{target}/version", SettingRule.TEXT, Role.CHANGE),
    /** The adapters that the engines of a model are to load. */
    ORDER_ADAPTERS("fleet/orders/{target}/adapters", SettingRule.TEXTS, Role.CHANGE),
    /** The role that the engines of a model are to take. */
    ORDER_ROLE("fleet/orders/{target}/role", SettingRule.TEXT, Role.CHANGE),
    /** Whether an upstream is drained, that is, receives no new requests. */
    UPSTREAM_DRAIN("fleet/upstreams/{upstream}/drain", SettingRule.FLAG, Role.CHANGE);

    private static final String CLASS_SEGMENT = "{class}";

    private final String mPattern;
    private final String[] mSegments;
    private final SettingRule mRule;
    private final Role mRequiredRole;

    SettingPath(String pattern, SettingRule rule, Role requiredRole) {
        mPattern = pattern;
        mSegments = split(pattern);
        mRule = rule;
        mRequiredRole = requiredRole;
    }

    /** Returns the path with placeholders in braces for variable segments. */
    public String pattern() {
        return mPattern;
    }

    /** Returns the rule that validates the setting's values. */
    public SettingRule rule() {
        return mRule;
    }

    /** Returns the role required to change the setting. */
    public Role requiredRole() {
        return mRequiredRole;
    }

    /** Returns the setting that a complete path belongs to; empty if there is none. */
    public static Optional<SettingPath> of(String path) {
        String[] segments = split(path);
        for (SettingPath candidate : values()) {
            if (candidate.matches(segments, candidate.mSegments.length)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a path is a supported setting path or an ancestor of one. */
    public static boolean isPrefix(String path) {
        String[] segments = split(path);
        return Arrays.stream(values())
                .anyMatch(settingPath -> settingPath.matches(segments, segments.length));
    }

    /**
     * Returns the patterns that start with the same segment as the path, for error messages. If
     * there are none, returns the possible first segments.
     */
    public static List<String> suggestPatterns(String path) {
        String first = split(path)[0];
        List<String> patterns =
                Arrays.stream(values())
                        .filter(settingPath -> settingPath.mSegments[0].equals(first))
                        .map(SettingPath::pattern)
                        .collect(Collectors.toList());
        return patterns.isEmpty() ? List.of("teams/{team}/...", "fleet/...") : patterns;
    }

    /** Returns the canonical form of a value; empty if the value is not allowed. */
    Optional<JsonNode> canonical(JsonNode value) {
        return mRule.canonical(value);
    }

    /**
     * Returns whether the given segments, at least {@code minSegments} of them, match the beginning
     * of this path.
     */
    private boolean matches(String[] segments, int minSegments) {
        if (segments.length > mSegments.length || segments.length < minSegments) {
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

    /** Splits a path into segments. Keeps empty segments, which match no setting path. */
    static String[] split(String path) {
        return path.split("/", -1);
    }
}
