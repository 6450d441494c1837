package org.magnoliapick.gateway;

import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.route.CallerLimits;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.RouteKind;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;
import org.magnoliapick.route.WeightedService;
import org.magnoliapick.route.WorkspaceSpec;

/**
 * A dialect for tests that reads the store. A configuration is a list of statements that end in a
 * semicolon: {@code version NUMBER}, {@code header MILLIS}, {@code idle MILLIS}, {@code service
 * NAME}, {@code keys} to require keys, {@code key KEY WORKSPACE} and {@code route NAME KIND SERVICE
 * TIMEOUT_MILLIS}. An upstream is {@code SERVICE PORT STARTED_MILLIS}, followed by {@code leaving}
 * if it is and by {@code in:DOMAIN} if its failure domain is another than the gateway's.
 */
public class ConfigDialect extends FakeDialect {
    private static final long OBJECTIVE_MILLIS = 1_000;

    @Override
    public Optional<RequestHead> readRequest(HttpRequest head) {
        Optional<String> key = Optional.ofNullable(head.headers().get("Key"));
        return super.readRequest(head)
                .map(
                        each ->
                                new RequestHead(
                                        each.id(),
                                        each.remainingMillis(),
                                        key,
                                        each.prompt(),
                                        each.resumeAfter()));
    }

    @Override
    public Optional<TrafficConfig> readConfig(String key, byte[] value) {
        long version = 0;
        long headerMillis = 1_000;
        long idleMillis = 10_000;
        List<Route> routes = new ArrayList<>();
        List<ServiceSpec> services = new ArrayList<>();
        List<WorkspaceSpec> workspaces = new ArrayList<>();
        boolean requiresKeys = false;
        for (String statement : new String(value, StandardCharsets.ISO_8859_1).split(";")) {
            String[] words = statement.trim().split(" ");
            switch (words[0]) {
                case "version" -> version = Long.parseLong(words[1]);
                case "header" -> headerMillis = Long.parseLong(words[1]);
                case "idle" -> idleMillis = Long.parseLong(words[1]);
                case "service" -> services.add(new ServiceSpec(words[1], 10, Optional.empty()));
                case "keys" -> requiresKeys = true;
                case "key" -> workspaces.add(workspace(words[2], words[1]));
                case "route" -> routes.add(route(words));
                default -> throw new IllegalArgumentException("unknown statement " + statement);
            }
        }
        return Optional.of(
                new TrafficConfig(
                        version,
                        routes,
                        services,
                        requiresKeys || !workspaces.isEmpty()
                                ? Optional.of(workspaces)
                                : Optional.empty(),
                        new CallerLimits(16_384, 65_536, headerMillis, idleMillis),
                        OptionalLong.empty()));
    }

    private static WorkspaceSpec workspace(String name, String key) {
        return new WorkspaceSpec(new WorkspaceId(name), List.of(key), 0);
    }

    private static Route route(String[] words) {
        RouteKind kind = RouteKind.valueOf(words[2]);
        return new Route(
                words[1],
                "127.0.0.1",
                "/" + words[1] + "/",
                kind,
                Long.parseLong(words[4]),
                OBJECTIVE_MILLIS,
                200,
                1,
                List.of(new WeightedService(words[3], 1)),
                2,
                false,
                kind == RouteKind.STREAM);
    }

    @Override
    public Optional<ListedUpstream> readUpstream(UpstreamId id, byte[] value) {
        String[] words = new String(value, StandardCharsets.ISO_8859_1).split(" ");
        List<String> options = List.of(words).subList(3, words.length);
        FailureDomain domain =
                options.stream()
                        .filter(each -> each.startsWith("in:"))
                        .map(each -> new FailureDomain(each.substring(3)))
                        .findFirst()
                        .orElse(TestSettings.DOMAIN);
        return Optional.of(
                new ListedUpstream(
                        id,
                        words[0],
                        "127.0.0.1:" + words[1],
                        domain,
                        4,
                        options.contains("leaving"),
                        Long.parseLong(words[2])));
    }

    @Override
    public StoreCall newestRecords(StoreTopic topic, Optional<String> afterKey) {
        return FakeStore.call("/newest/" + topic);
    }

    @Override
    public StoreCall recordsFrom(StoreTopic topic, long fromOffset, long waitMillis) {
        return FakeStore.call("/from/" + topic + "/" + fromOffset);
    }
}
