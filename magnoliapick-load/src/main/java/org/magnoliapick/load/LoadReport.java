package org.magnoliapick.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The figures of a run.
 *
 * @param seconds how long it took
 * @param recordsComplete whether every plain service showed what it ran
 * @param workspaces the figures of each workspace
 */
public record LoadReport(
        double seconds, boolean recordsComplete, List<WorkspaceFigures> workspaces) {
    private static final String HEAD =
            "%-20s %8s %7s %7s %6s %7s %4s %7s %7s %5s %7s %8s %8s %9s %9s %7s %7s %7s %8s%n";
    private static final String ROW =
            "%-20s %8d %7d %7d %6d %7d %4d %7d %7d %5d %7d %8d %8d %9.0f %9.0f %7.0f %7.0f %7.0f"
                    + " %8.0f%n";

    static LoadReport of(List<WorkspaceTally> tallies, boolean recordsComplete, double seconds) {
        List<WorkspaceFigures> figures = new ArrayList<>();
        for (WorkspaceTally tally : tallies) {
            figures.add(tally.figures(leastOfTeam(tallies, tally.plan().team())));
        }
        return new LoadReport(seconds, recordsComplete, figures);
    }

    private static double leastOfTeam(List<WorkspaceTally> tallies, String team) {
        return tallies.stream()
                .filter(tally -> tally.plan().backlogged())
                .filter(tally -> tally.plan().team().equals(team))
                .mapToDouble(WorkspaceTally::normalisedTokens)
                .min()
                .orElse(0);
    }

    /** Returns whether nothing was lost, doubled, crossed or falsely refused. */
    public boolean isClean() {
        return recordsComplete && workspaces.stream().allMatch(WorkspaceFigures::isClean);
    }

    /** Returns the figures as a table for people. */
    public String toTable() {
        StringBuilder table = new StringBuilder();
        table.append(
                String.format(
                        HEAD,
                        "workspace",
                        "requests",
                        "whole",
                        "not-run",
                        "failed",
                        "unknown",
                        "lost",
                        "doubled",
                        "crossed",
                        "false",
                        "retries",
                        "tokens",
                        "held-ms",
                        "norm-tok",
                        "gap-tok",
                        "p50-ms",
                        "p95-ms",
                        "p99-ms",
                        "first-95"));
        workspaces.forEach(figures -> table.append(row(figures)));
        table.append(String.format("answers that were not whole, by kind: %s%n", refusals()));
        table.append(String.format("%.1f s, %s%n", seconds, verdict()));
        return table.toString();
    }

    private static String row(WorkspaceFigures figures) {
        return String.format(
                ROW,
                figures.workspace(),
                figures.requests(),
                figures.whole(),
                figures.notRun(),
                figures.failed(),
                figures.unknown(),
                figures.lost(),
                figures.doubled(),
                figures.crossed(),
                figures.falseRefusals(),
                figures.retries(),
                figures.tokens(),
                figures.heldMillis(),
                figures.normalisedTokens(),
                figures.gapTokens(),
                figures.p50Millis(),
                figures.p95Millis(),
                figures.p99Millis(),
                figures.firstTokenP95Millis());
    }

    private Map<String, Long> refusals() {
        Map<String, Long> all = new TreeMap<>();
        for (WorkspaceFigures figures : workspaces) {
            figures.refusals().forEach((error, count) -> all.merge(error, count, Long::sum));
        }
        return all;
    }

    private String verdict() {
        if (!recordsComplete) {
            return "not clean: a service did not show what it ran";
        }
        return isClean()
                ? "clean: zero lost, zero doubled, zero crossed, zero false refusals"
                : "not clean: see lost, doubled, crossed and false";
    }
}
