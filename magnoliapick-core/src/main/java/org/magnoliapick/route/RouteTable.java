package org.magnoliapick.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Looks up the route of a request by its host and the longest matching path prefix. */
public final class RouteTable {
    private final Map<String, Map<String, Route>> mRoutesByHost = new HashMap<>();
    private final List<Route> mRoutes;

    /** Creates a table. If two routes have the same host and prefix, the later one wins. */
    public RouteTable(List<Route> routes) {
        mRoutes = List.copyOf(routes);
        for (Route route : routes) {
            mRoutesByHost
                    .computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /** Returns all routes in the order of the configuration. */
    public List<Route> all() {
        return mRoutes;
    }

    /**
     * Returns the route with the longest prefix of the request path, or empty if no route matches.
     * Looks up only prefixes of the path that end with a slash, as all route prefixes do.
     *
     * @param host the Host header value, in any case, with or without a port
     * @param target the request path, with or without a query string
     */
    public Optional<Route> find(String host, String target) {
        Map<String, Route> routes = mRoutesByHost.get(withoutPort(host));
        if (routes == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Route route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = slash == 0 ? -1 : path.lastIndexOf('/', slash - 1);
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
