package org.magnoliapick.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.RouteKind;
import org.magnoliapick.route.WeightedService;

/** Creates requests for tests; they arrive at time 0. */
public final class Requests {
    private Requests() {}

    /** Returns a route of a kind with two attempts. */
    public static Route route(RouteKind kind, boolean resumable) {
        return new Route(
                "r",
                "h",
                "/p/",
                kind,
                4_000,
                400,
                300,
                1,
                List.of(new WeightedService("s", 1)),
                2,
                false,
                resumable);
    }

    /** Returns a request on such a route. */
    public static RelayRequest request(RouteKind kind, boolean resumable) {
        return new RelayRequest(
                "id",
                route(kind, resumable),
                "s",
                Optional.of(new WorkspaceId("w")),
                Prompt.UNKNOWN,
                new Fingerprint(1),
                OptionalLong.empty(),
                0,
                0,
                10_000,
                7);
    }
}
