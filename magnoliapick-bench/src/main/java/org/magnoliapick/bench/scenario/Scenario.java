package org.magnoliapick.bench.scenario;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * One load on one fleet, with its faults.
 *
 * @param name its name
 * @param description what it shows
 * @param durationSeconds the length of the run, in seconds
 * @param warmupSeconds the start of the run that is not measured, in seconds
 * @param links the links between processes
 * @param routers the number of entry instances in each failure domain
 * @param upstreams the upstreams
 * @param maxConcurrentPerUpstream what the configuration allows at one upstream
 * @param workspaces the workspaces and their load
 * @param loadReports how upstreams report their load
 * @param membership how soon instances learn of changes in the fleet
 * @param faults the faults
 */
public record Scenario(
        String name,
        String description,
        double durationSeconds,
        double warmupSeconds,
        Links links,
        Map<String, Integer> routers,
        List<UpstreamGroup> upstreams,
        int maxConcurrentPerUpstream,
        List<WorkspaceGroup> workspaces,
        LoadReports loadReports,
        Membership membership,
        List<Fault> faults) {
    /** Copies the collections. */
    public Scenario {
        routers = routers == null ? Map.of() : new LinkedHashMap<>(routers);
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
        faults = faults == null ? List.of() : List.copyOf(faults);
    }

    /** Returns the targets that the upstreams serve, in order. */
    public List<String> targets() {
        TreeSet<String> targets = new TreeSet<>();
        upstreams.forEach(group -> targets.add(group.target()));
        return List.copyOf(targets);
    }
}
