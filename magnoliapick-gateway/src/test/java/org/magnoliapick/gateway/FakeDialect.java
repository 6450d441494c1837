package org.magnoliapick.gateway;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.route.CallerLimits;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.RouteKind;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;
import org.magnoliapick.route.WeightedService;

/** A dialect for tests: plain header names, a fixed configuration and list of upstreams. */
public class FakeDialect implements Dialect {
    private final List<Integer> mUpstreamPorts;

    /** Creates a dialect whose list holds upstreams u0, u1, ... at loopback ports. */
    public FakeDialect(Integer... upstreamPorts) {
        mUpstreamPorts = List.of(upstreamPorts);
    }

    @Override
    public Optional<RequestHead> readRequest(HttpRequest head) {
        return Optional.ofNullable(head.headers().get("Id"))
                .map(
                        id ->
                                new RequestHead(
                                        id,
                                        OptionalLong.empty(),
                                        Optional.empty(),
                                        prompt(head.headers().get("Parts", "")),
                                        OptionalLong.empty()));
    }

    private static Prompt prompt(String parts) {
        return parts.isEmpty()
                ? Prompt.UNKNOWN
                : new Prompt(
                        100,
                        10,
                        Stream.of(parts.split(",")).map(id -> new PromptPart(id, 10)).toList());
    }

    @Override
    public void rewriteHeaders(HttpHeaders headers, ForwardedHead forwarded) {
        headers.set("Left", forwarded.remainingMillis());
        if (forwarded.resumeAfter().isPresent()) {
            headers.set("After", forwarded.resumeAfter().getAsLong());
        }
    }

    @Override
    public ResponseHead readResponse(HttpResponse head) {
        return new ResponseHead(
                Optional.ofNullable(head.headers().get("Id")),
                head.headers().contains("Not-Run"),
                head.headers().contains("Signed"),
                Stream.ofNullable(head.headers().get("Rate-Limit"))
                        .mapToDouble(Double::parseDouble)
                        .findFirst(),
                head.headers().contains("Leaving"),
                Stream.ofNullable(head.headers().get("Pause"))
                        .mapToLong(Long::parseLong)
                        .findFirst());
    }

    @Override
    public String configKey() {
        return "config";
    }

    @Override
    public Optional<TrafficConfig> readConfig(String key, byte[] value) {
        return Optional.of(
                new TrafficConfig(
                        1,
                        List.of(
                                route("safe", RouteKind.SAFE, false),
                                route("unsafe", RouteKind.UNSAFE, false),
                                route("stream", RouteKind.STREAM, true)),
                        List.of(new ServiceSpec("s", 10, Optional.empty())),
                        Optional.empty(),
                        new CallerLimits(16_384, 4_096, 1_000, 10_000),
                        OptionalLong.empty()));
    }

    private static Route route(String name, RouteKind kind, boolean resumable) {
        return new Route(
                name,
                "127.0.0.1",
                "/" + name + "/",
                kind,
                5_000,
                1_000,
                200,
                1,
                List.of(new WeightedService("s", 1)),
                2,
                true,
                resumable);
    }

    private int portOf(UpstreamId id) {
        String name = id.value();
        return mUpstreamPorts.get(
                name.matches("u[0-9]+") ? Integer.parseInt(name.substring(1)) : 0);
    }

    /** The key {@code evacuate/DOMAIN} evacuates a domain. */
    @Override
    public Optional<FailureDomain> readEvacuation(String key) {
        return Optional.of(key)
                .filter(each -> each.startsWith("evacuate/") && each.length() > 9)
                .map(each -> new FailureDomain(each.substring(9)));
    }

    @Override
    public Optional<ListedUpstream> readUpstream(UpstreamId id, byte[] value) {
        return Optional.of(
                new ListedUpstream(
                        id, "s", "127.0.0.1:" + portOf(id), new FailureDomain("a"), 4, false, 1));
    }

    @Override
    public OptionalLong readStoreEpoch(HttpResponse head) {
        return Stream.ofNullable(head.headers().get("Epoch"))
                .mapToLong(Long::parseLong)
                .findFirst();
    }

    @Override
    public StoreCall newestRecords(StoreTopic topic, Optional<String> afterKey) {
        return call(
                IntStream.range(0, mUpstreamPorts.size())
                        .mapToObj(i -> new StoreRecord("u" + i, new byte[] {(byte) i}, 0))
                        .toList());
    }

    @Override
    public StoreCall recordsFrom(StoreTopic topic, long fromOffset, long waitMillis) {
        return call(List.of());
    }

    private static StoreCall call(List<StoreRecord> records) {
        return new StoreCall() {
            @Override
            public HttpRequest request() {
                return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/store");
            }

            @Override
            public StoreResponse parse(int status, byte[] body) {
                return new StoreResponse.Page(records, 1, Optional.empty());
            }
        };
    }
}
