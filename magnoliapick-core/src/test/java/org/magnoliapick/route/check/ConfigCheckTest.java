package org.magnoliapick.route.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.route.CallerLimits;
import org.magnoliapick.route.EngineSpec;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.RouteKind;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;
import org.magnoliapick.route.WeightedService;
import org.magnoliapick.route.WorkspaceSpec;

/** Guards against versions of the configuration that pass although an entry cannot work. */
final class ConfigCheckTest {
    private static final Route GOOD =
            new Route(
                    "r",
                    "h",
                    "/a/",
                    RouteKind.STREAM,
                    10_000,
                    400,
                    300,
                    1,
                    List.of(new WeightedService("s", 1)),
                    2,
                    false,
                    true);

    private static final ServiceSpec SERVICE =
            new ServiceSpec("s", 10, Optional.of(new EngineSpec(16, 1_000, 4)));

    private static TrafficConfig config(
            List<Route> routes, List<ServiceSpec> services, List<WorkspaceSpec> workspaces) {
        return new TrafficConfig(
                1,
                routes,
                services,
                Optional.of(workspaces),
                CallerLimits.INITIAL,
                OptionalLong.of(1_000));
    }

    private static WorkspaceSpec workspace(String name, String... keys) {
        return new WorkspaceSpec(new WorkspaceId(name), List.of(keys), 0);
    }

    private static List<String> findings(
            List<Route> routes, List<ServiceSpec> services, List<WorkspaceSpec> workspaces) {
        return ConfigCheck.check(config(routes, services, workspaces)).stream()
                .map(ConfigFinding::toString)
                .toList();
    }

    private static List<String> findings(Route route) {
        return findings(List.of(route), List.of(SERVICE), List.of(workspace("w", "k")));
    }

    private static Route route(String name, RouteKind kind, long timeoutMillis, int attempts) {
        return new Route(
                name,
                "h",
                "/a/",
                kind,
                timeoutMillis,
                400,
                0,
                1,
                List.of(new WeightedService("s", 1)),
                attempts,
                false,
                false);
    }

    @Test
    void findsNothingInGoodConfiguration() {
        assertThat(findings(GOOD)).isEmpty();
    }

    @Test
    void findsEntriesThatNeverMatch() {
        Route later = route("later", RouteKind.SAFE, 1_000, 2);
        assertThat(
                        findings(
                                List.of(GOOD, later),
                                List.of(SERVICE, new ServiceSpec("t", 10, Optional.empty())),
                                List.of(workspace("w", "k", "l"), workspace("x", "k"))))
                .containsExactly(
                        "never matches: route r: route later has the same host and prefix and"
                                + " comes later",
                        "never matches: service t: no route leads to it",
                        "never matches: workspace w: its key 1 belongs to workspace x, too");
    }

    @Test
    void findsRoutesThatNobodyMayUse() {
        assertThat(findings(List.of(GOOD), List.of(SERVICE), List.of(workspace("w"))))
                .containsExactly(
                        "never matches: route r: needs an API key, and no workspace has one",
                        "never matches: workspace w: has no API key");
    }

    @Test
    void findsErrors() {
        assertThat(findings(List.of(GOOD), List.of(), List.of(workspace("w", "k"))))
                .containsExactly("error: route r: service s is not configured");
        assertThat(findings(route("r", RouteKind.SAFE, 0, 0)))
                .containsExactly(
                        "error: route r: has no timeout, so every request is late",
                        "error: route r: allows no attempt");
        ServiceSpec noSlots = new ServiceSpec("s", 10, Optional.of(new EngineSpec(0, 0, 1)));
        assertThat(findings(List.of(GOOD), List.of(noSlots), List.of(workspace("w", "k"))))
                .containsExactly(
                        "error: service s: its engines have no slots",
                        "error: service s: its engines have no memory");
    }

    @Test
    void findsContradictions() {
        assertThat(findings(route("r", RouteKind.UNSAFE, 300, 2)))
                .containsExactly(
                        "contradiction: route r: objective 400 ms is above the timeout of 300 ms",
                        "contradiction: route r: allows 2 attempts, but a request that may have"
                                + " run is not repeated");
    }

    @Test
    void tellsDifferencesWithoutKeys() {
        TrafficConfig before =
                config(List.of(GOOD), List.of(SERVICE), List.of(workspace("w", "secret", "l")));
        TrafficConfig after =
                config(
                        List.of(
                                route("r", RouteKind.STREAM, 9_000, 2),
                                route("n", RouteKind.SAFE, 1_000, 1)),
                        List.of(),
                        List.of(workspace("w", "l", "m", "n")));
        assertThat(ConfigDifference.between(before, after))
                .containsExactly(
                        "route r: timeout ms: 10000 before, 9000 now",
                        "route r: gap objective ms: 300 before, 0 now",
                        "route r: resumable: true before, false now",
                        "route n: added",
                        "service s: removed",
                        "workspace w: keys removed: 1",
                        "workspace w: keys added: 2")
                .noneMatch(line -> line.contains("secret"));
        assertThat(ConfigDifference.between(before, before)).isEmpty();
    }
}
