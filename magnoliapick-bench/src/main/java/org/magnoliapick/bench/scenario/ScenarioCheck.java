package org.magnoliapick.bench.scenario;

import java.util.List;
import java.util.Map;

/** Checks that a scenario makes sense. */
final class ScenarioCheck {
    private static final int MOST_MEMBERS = 10_000;
    private static final double LONGEST_SECONDS = 86_400;

    private final String mFile;

    ScenarioCheck(String file) {
        mFile = file;
    }

    void check(Scenario scenario) throws ScenarioException {
        present(scenario.name(), "name");
        range(scenario.durationSeconds(), 1, LONGEST_SECONDS, "durationSeconds");
        range(scenario.warmupSeconds(), 0, scenario.durationSeconds(), "warmupSeconds");
        range(scenario.maxConcurrentPerUpstream(), 1, MOST_MEMBERS, "maxConcurrentPerUpstream");
        present(scenario.links(), "links");
        range(scenario.links().lossRatio(), 0, 1, "links.lossRatio");
        range(scenario.links().inDomainMicros(), 0, 1e9, "links.inDomainMicros");
        range(scenario.links().crossDomainMicros(), 0, 1e9, "links.crossDomainMicros");
        present(scenario.loadReports(), "loadReports");
        range(scenario.loadReports().everyMillis(), 1, 1e6, "loadReports.everyMillis");
        range(scenario.loadReports().lagMillis(), 0, 1e6, "loadReports.lagMillis");
        present(scenario.membership(), "membership");
        checkRouters(scenario.routers());
        checkUpstreams(scenario);
        checkWorkspaces(scenario);
        checkFaults(scenario);
    }

    private void checkRouters(Map<String, Integer> routers) throws ScenarioException {
        if (routers.isEmpty()) {
            throw fail("routers", "must name at least one failure domain");
        }
        for (Map.Entry<String, Integer> entry : routers.entrySet()) {
            range(entry.getValue(), 1, MOST_MEMBERS, "routers." + entry.getKey());
        }
    }

    private void checkUpstreams(Scenario scenario) throws ScenarioException {
        if (scenario.upstreams().isEmpty()) {
            throw fail("upstreams", "must have at least one entry");
        }
        for (int i = 0; i < scenario.upstreams().size(); i++) {
            UpstreamGroup group = scenario.upstreams().get(i);
            String path = "upstreams[" + i + "].";
            present(group.name(), path + "name");
            present(group.kind(), path + "kind");
            present(group.target(), path + "target");
            domain(scenario, group.domain(), path + "domain");
            range(group.count(), 1, MOST_MEMBERS, path + "count");
            range(group.slots(), 1, MOST_MEMBERS, path + "slots");
            range(group.stepBaseMicros(), 1, 1e9, path + "stepBaseMicros");
            range(group.stepPerRequestMicros(), 0, 1e9, path + "stepPerRequestMicros");
        }
    }

    private void checkWorkspaces(Scenario scenario) throws ScenarioException {
        if (scenario.workspaces().isEmpty()) {
            throw fail("workspaces", "must have at least one entry");
        }
        for (int i = 0; i < scenario.workspaces().size(); i++) {
            WorkspaceGroup group = scenario.workspaces().get(i);
            String path = "workspaces[" + i + "].";
            present(group.name(), path + "name");
            range(group.count(), 1, MOST_MEMBERS, path + "count");
            range(group.weight(), 1e-6, 1e6, path + "weight");
            range(group.maxQueued(), 1, 1e6, path + "maxQueued");
            for (int j = 0; j < group.loads().size(); j++) {
                checkLoad(scenario, group.loads().get(j), path + "loads[" + j + "].");
            }
        }
    }

    private void checkLoad(Scenario scenario, Load load, String path) throws ScenarioException {
        oneOf(load.target(), scenario.targets(), path + "target");
        present(load.cost(), path + "cost");
        range(load.cost().median(), 1, 1e9, path + "cost.median");
        range(load.cost().sigma(), 0, 10, path + "cost.sigma");
        range(load.cost().max(), 1, 1e9, path + "cost.max");
        range(load.outstanding(), 0, 1e6, path + "outstanding");
        range(load.perSecond(), 0, 1e6, path + "perSecond");
        range(load.spread(), 0, MOST_MEMBERS, path + "spread");
        range(load.deadlineSeconds(), 0.001, LONGEST_SECONDS, path + "deadlineSeconds");
        if ((load.outstanding() > 0) == (load.perSecond() > 0)) {
            throw fail(path + "outstanding", "either outstanding or perSecond must be above 0");
        }
        for (String domain : load.entryDomains()) {
            domain(scenario, domain, path + "entryDomains");
        }
    }

    private void checkFaults(Scenario scenario) throws ScenarioException {
        for (int i = 0; i < scenario.faults().size(); i++) {
            Fault fault = scenario.faults().get(i);
            String path = "faults[" + i + "].";
            present(fault.kind(), path + "kind");
            range(fault.atSeconds(), 0, scenario.durationSeconds(), path + "atSeconds");
            double end = scenario.durationSeconds();
            range(fault.untilSeconds(), fault.atSeconds(), end, path + "untilSeconds");
            switch (fault.kind()) {
                case PARTITION -> checkPartition(scenario, fault, path);
                case ROUTER_LOST -> present(fault.router(), path + "router");
                case UPSTREAM_LEAVES, UPSTREAM_LOST -> present(fault.upstream(), path + "upstream");
                default -> throw fail(path + "kind", "is not known");
            }
        }
    }

    private void checkPartition(Scenario scenario, Fault fault, String path)
            throws ScenarioException {
        if (fault.domains().isEmpty()) {
            throw fail(path + "domains", "must name at least one failure domain");
        }
        for (String domain : fault.domains()) {
            domain(scenario, domain, path + "domains");
        }
    }

    private void domain(Scenario scenario, String value, String path) throws ScenarioException {
        oneOf(value, List.copyOf(scenario.routers().keySet()), path);
    }

    private void oneOf(String value, List<String> allowed, String path) throws ScenarioException {
        if (value == null || !allowed.contains(value)) {
            throw fail(path, "must be one of " + allowed + ", is " + value);
        }
    }

    private void present(Object value, String path) throws ScenarioException {
        if (value == null) {
            throw fail(path, "must be given");
        }
    }

    private void range(double value, double least, double most, String path)
            throws ScenarioException {
        if (!(value >= least && value <= most)) {
            String bounds = String.format("%s to %s", number(least), number(most));
            throw fail(path, "must be from " + bounds + ", is " + number(value));
        }
    }

    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    private ScenarioException fail(String path, String allowed) {
        return new ScenarioException(mFile, path, allowed);
    }
}
