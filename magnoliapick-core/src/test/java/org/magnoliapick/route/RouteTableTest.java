package org.magnoliapick.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RouteTableTest {
    private final RouteTable mTable =
            new RouteTable(
                    List.of(
                            route("all", "/"),
                            route("a", "/a/"),
                            route("a-b", "/a/b/"),
                            route("later", "/a/b/")));

    static Route route(String name, String prefix) {
        return new Route(
                name,
                "shop.example",
                prefix,
                RouteKind.SAFE,
                1_000,
                100,
                0,
                1,
                List.of(new WeightedService("x", 90), new WeightedService("y", 10)),
                2,
                false,
                false);
    }

    private Optional<String> find(String host, String target) {
        return mTable.find(host, target).map(Route::name);
    }

    @Test
    void matchesLongestPathPrefix() {
        assertThat(find("shop.example", "/a/b/c?d=/e/")).contains("later");
        assertThat(find("shop.example", "/a/c")).contains("a");
        assertThat(find("shop.example", "/a")).contains("all");
    }

    @Test
    void ignoresPortAndCaseOfHost() {
        assertThat(find("SHOP.example:8080", "/a/x")).contains("a");
        assertThat(find("other.example", "/a/x")).isEmpty();
    }

    @Test
    void splitsRequestsByWeightDeterministically() {
        Route route = route("a", "/a/");
        int toY = 0;
        for (int i = 0; i < 1_000; i++) {
            if (route.serviceFor(Integer.toHexString(i * 7_919)).orElseThrow().equals("y")) {
                toY++;
            }
        }
        assertThat(toY).isBetween(60, 140);
        assertThat(route.serviceFor("same")).isEqualTo(route.serviceFor("same"));
    }
}
