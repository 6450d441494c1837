package org.magnoliapick.route;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** An immutable version of the traffic configuration of the relay path. */
public final class TrafficConfig {
    private final long mVersion;
    private final RouteTable mRoutes;
    private final Map<String, ServiceSpec> mServices = new HashMap<>();
    private final Map<String, WorkspaceSpec> mWorkspacesByKey = new HashMap<>();
    private final Optional<List<WorkspaceSpec>> mWorkspaces;
    private final CallerLimits mLimits;
    private final OptionalLong mTokensPerSecond;

    /**
     * Creates a version of the configuration.
     *
     * @param workspaces the workspaces, whose API keys requests need; empty if they need none. With
     *     a list of no workspaces, no key is valid.
     * @param tokensPerSecond total throughput of all engines in tokens per second, if configured
     */
    public TrafficConfig(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            Optional<List<WorkspaceSpec>> workspaces,
            CallerLimits limits,
            OptionalLong tokensPerSecond) {
        mVersion = version;
        mRoutes = new RouteTable(routes);
        services.forEach(each -> mServices.put(each.name(), each));
        mWorkspaces = workspaces.map(List::copyOf);
        for (WorkspaceSpec workspace : workspaces()) {
            workspace.keys().forEach(key -> mWorkspacesByKey.put(key, workspace));
        }
        mLimits = limits;
        mTokensPerSecond = tokensPerSecond;
    }

    /** Returns the version number, which increases with each change. */
    public long version() {
        return mVersion;
    }

    public RouteTable routes() {
        return mRoutes;
    }

    /** Returns all services. */
    public Collection<ServiceSpec> services() {
        return Collections.unmodifiableCollection(mServices.values());
    }

    /** Returns the service with the given name. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns whether requests to routes that are not public must carry an API key. */
    public boolean requiresKeys() {
        return mWorkspaces.isPresent();
    }

    /** Returns the workspace that the API key belongs to. */
    public Optional<WorkspaceSpec> workspaceOf(String key) {
        return Optional.ofNullable(mWorkspacesByKey.get(key));
    }

    /** Returns all workspaces in the order of the configuration. */
    public List<WorkspaceSpec> workspaces() {
        return mWorkspaces.orElse(List.of());
    }

    /** Returns the limits on caller requests. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns the total throughput of all engines in tokens per second, if configured. */
    public OptionalLong tokensPerSecond() {
        return mTokensPerSecond;
    }
}
