package org.magnoliapick.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** One version of the configuration of the pass-through path. */
public final class TrafficConfig {
    private final long mVersion;
    private final RouteTable mRoutes;
    private final Map<String, ServiceSpec> mServices = new HashMap<>();
    private final Map<String, WorkspaceSpec> mWorkspacesByKey = new HashMap<>();
    private final List<WorkspaceSpec> mWorkspaces;
    private final CallerLimits mLimits;
    private final OptionalLong mTokensPerSecond;

    /**
     * Creates a version.
     *
     * @param workspaces the workspaces; empty if requests carry no keys
     * @param tokensPerSecond what all engines process together, if the operator tells
     */
    public TrafficConfig(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            List<WorkspaceSpec> workspaces,
            CallerLimits limits,
            OptionalLong tokensPerSecond) {
        mVersion = version;
        mRoutes = new RouteTable(routes);
        services.forEach(each -> mServices.put(each.name(), each));
        mWorkspaces = List.copyOf(workspaces);
        for (WorkspaceSpec workspace : workspaces) {
            workspace.keys().forEach(key -> mWorkspacesByKey.put(key, workspace));
        }
        mLimits = limits;
        mTokensPerSecond = tokensPerSecond;
    }

    /** Returns the version, which only grows. */
    public long version() {
        return mVersion;
    }

    /** Returns the routes. */
    public RouteTable routes() {
        return mRoutes;
    }

    /** Returns a service by its name. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns whether requests have to carry a key. */
    public boolean requiresKeys() {
        return !mWorkspaces.isEmpty();
    }

    /** Returns the workspace that holds a key. */
    public Optional<WorkspaceSpec> workspaceOf(String key) {
        return Optional.ofNullable(mWorkspacesByKey.get(key));
    }

    /** Returns all workspaces. */
    public List<WorkspaceSpec> workspaces() {
        return mWorkspaces;
    }

    /** Returns what callers may send. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns the tokens that all engines process in a second, if the operator tells. */
    public OptionalLong tokensPerSecond() {
        return mTokensPerSecond;
    }
}
