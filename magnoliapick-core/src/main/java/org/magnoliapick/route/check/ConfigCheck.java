package org.magnoliapick.route.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.route.EngineSpec;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.RouteKind;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;
import org.magnoliapick.route.WeightedService;
import org.magnoliapick.route.WorkspaceSpec;

/**
 * Finds entries of a configuration that cannot work, that never match a request, or that contradict
 * each other. It examines what instances read, so values that they replace by defaults are examined
 * as these defaults.
 */
public final class ConfigCheck {
    /** Ranks combine the priorities of workspace and route; route priorities fill two digits. */
    private static final int MAX_ROUTE_PRIORITY = 99;

    private final TrafficConfig mConfig;
    private final List<ConfigFinding> mFindings = new ArrayList<>();

    private ConfigCheck(TrafficConfig config) {
        mConfig = config;
    }

    /** Returns the findings of a configuration in the order of its entries. */
    public static List<ConfigFinding> check(TrafficConfig config) {
        ConfigCheck check = new ConfigCheck(config);
        check.checkRoutes();
        check.checkServices();
        check.checkWorkspaces();
        return List.copyOf(check.mFindings);
    }

    private void add(ConfigFinding.Kind kind, String subject, String message) {
        mFindings.add(new ConfigFinding(kind, subject, message));
    }

    private void checkRoutes() {
        Map<String, Route> lastByPath = new HashMap<>();
        mConfig.routes().all().forEach(route -> lastByPath.put(path(route), route));
        boolean anyKey = mConfig.workspaces().stream().anyMatch(each -> !each.keys().isEmpty());
        for (Route route : mConfig.routes().all()) {
            String subject = "route " + route.name();
            Route last = lastByPath.get(path(route));
            if (last != route) {
                add(
                        ConfigFinding.Kind.UNREACHABLE,
                        subject,
                        "route " + last.name() + " has the same host and prefix and comes later");
            }
            if (mConfig.requiresKeys() && !route.isPublic() && !anyKey) {
                add(
                        ConfigFinding.Kind.UNREACHABLE,
                        subject,
                        "needs an API key, and no workspace has one");
            }
            checkTargets(route, subject);
            checkLimits(route, subject);
            checkAttempts(route, subject);
        }
    }

    private static String path(Route route) {
        return route.host() + route.pathPrefix();
    }

    private void checkTargets(Route route, String subject) {
        if (route.services().isEmpty()) {
            add(ConfigFinding.Kind.ERROR, subject, "has no service");
        }
        long total = route.services().stream().mapToLong(WeightedService::weight).sum();
        for (WeightedService each : route.services()) {
            if (mConfig.service(each.service()).isEmpty()) {
                add(
                        ConfigFinding.Kind.ERROR,
                        subject,
                        "service " + each.service() + " is not configured");
            }
            if (total > 0 && each.weight() == 0) {
                add(
                        ConfigFinding.Kind.UNREACHABLE,
                        subject,
                        "service " + each.service() + " has weight 0 and gets no request");
            }
        }
        if (total == 0 && route.services().size() > 1) {
            add(
                    ConfigFinding.Kind.CONTRADICTION,
                    subject,
                    "all weights are 0, so the first service gets all requests");
        }
    }

    private void checkLimits(Route route, String subject) {
        if (route.timeoutMillis() == 0) {
            add(ConfigFinding.Kind.ERROR, subject, "has no timeout, so every request is late");
        } else if (route.objectiveMillis() > route.timeoutMillis()) {
            contradiction(
                    subject,
                    "objective %d ms is above the timeout of %d ms",
                    route.objectiveMillis(),
                    route.timeoutMillis());
        }
        if (route.objectiveMillis() == 0) {
            add(ConfigFinding.Kind.CONTRADICTION, subject, "no response can meet 0 ms");
        }
        if (route.gapObjectiveMillis() > 0 && !route.kind().streamed()) {
            add(
                    ConfigFinding.Kind.CONTRADICTION,
                    subject,
                    "has an objective for gaps between events and no stream");
        } else if (route.gapObjectiveMillis() > route.timeoutMillis()) {
            contradiction(
                    subject,
                    "gap objective %d ms is above the timeout of %d ms",
                    route.gapObjectiveMillis(),
                    route.timeoutMillis());
        }
        if (route.priority() < 0 || route.priority() > MAX_ROUTE_PRIORITY) {
            contradiction(
                    subject,
                    "priority %d is not from 0 to %d, so it outweighs that of workspaces",
                    route.priority(),
                    MAX_ROUTE_PRIORITY);
        }
    }

    private void checkAttempts(Route route, String subject) {
        if (route.maxAttempts() == 0) {
            add(ConfigFinding.Kind.ERROR, subject, "allows no attempt");
        }
        if (route.resumable() && !route.kind().streamed()) {
            add(ConfigFinding.Kind.CONTRADICTION, subject, "is resumable and no stream");
        }
        if (route.maxAttempts() > 1 && !route.retryable()) {
            contradiction(
                    subject,
                    "allows %d attempts, but a request that may have run is not repeated",
                    route.maxAttempts());
        }
        if (route.resumable() && route.kind() == RouteKind.STREAM && route.maxAttempts() == 1) {
            add(
                    ConfigFinding.Kind.CONTRADICTION,
                    subject,
                    "is resumable, but allows only one attempt");
        }
    }

    private void contradiction(String subject, String format, Object... values) {
        add(ConfigFinding.Kind.CONTRADICTION, subject, format.formatted(values));
    }

    private void checkServices() {
        Set<String> used = new HashSet<>();
        for (Route route : mConfig.routes().all()) {
            route.services().forEach(each -> used.add(each.service()));
        }
        for (ServiceSpec service : mConfig.services()) {
            String subject = "service " + service.name();
            if (!used.contains(service.name())) {
                add(ConfigFinding.Kind.UNREACHABLE, subject, "no route leads to it");
            }
            service.engine().ifPresent(engine -> checkEngine(engine, subject));
        }
    }

    private void checkEngine(EngineSpec engine, String subject) {
        if (engine.slots() == 0) {
            add(ConfigFinding.Kind.ERROR, subject, "its engines have no slots");
        }
        if (engine.memoryTokens() == 0) {
            add(ConfigFinding.Kind.ERROR, subject, "its engines have no memory");
        }
        if (mConfig.tokensPerSecond().orElse(1) == 0) {
            add(
                    ConfigFinding.Kind.CONTRADICTION,
                    subject,
                    "has engines, but all engines together are configured for 0 tokens per second");
        }
    }

    private void checkWorkspaces() {
        Set<WorkspaceId> ids = new HashSet<>();
        Map<String, WorkspaceSpec> lastByKey = new HashMap<>();
        for (WorkspaceSpec workspace : mConfig.workspaces()) {
            workspace.keys().forEach(key -> lastByKey.put(key, workspace));
        }
        for (WorkspaceSpec workspace : mConfig.workspaces()) {
            String subject = "workspace " + workspace.id();
            if (!ids.add(workspace.id())) {
                add(ConfigFinding.Kind.CONTRADICTION, subject, "is listed more than once");
            }
            if (workspace.keys().isEmpty()) {
                add(ConfigFinding.Kind.UNREACHABLE, subject, "has no API key");
            }
            checkKeys(workspace, lastByKey, subject);
        }
    }

    /** Reports keys by their position, because they are secret. */
    private void checkKeys(
            WorkspaceSpec workspace, Map<String, WorkspaceSpec> lastByKey, String subject) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < workspace.keys().size(); i++) {
            String key = workspace.keys().get(i);
            WorkspaceSpec last = lastByKey.get(key);
            if (last != workspace) {
                add(
                        ConfigFinding.Kind.UNREACHABLE,
                        subject,
                        "its key " + (i + 1) + " belongs to workspace " + last.id() + ", too");
            } else if (!seen.add(key)) {
                add(
                        ConfigFinding.Kind.UNREACHABLE,
                        subject,
                        "its key " + (i + 1) + " is listed twice");
            }
        }
    }
}
