package org.magnoliapick.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.lib.WorkspaceId;

/**
 * Comparison of the service that two workspaces received.
 *
 * @param left the first workspace
 * @param right the second workspace
 * @param commonMillis the time in which both had requests waiting
 * @param gapUnits the normalised service of the left workspace minus that of the right one, over
 *     the windows in which both had requests waiting
 * @param sentences the comparison as sentences for operators
 */
public record WorkspaceComparison(
        Side left, Side right, long commonMillis, double gapUnits, List<String> sentences) {
    /**
     * One of the two compared workspaces.
     *
     * @param workspace the name of the workspace
     * @param team the name of its team
     * @param teamWeight the weight of its team
     * @param weight its weight within the team
     * @param usedUnits the service used over all windows
     * @param commonUnits the service used in the windows in which both had requests waiting
     * @param normalisedUnits {@code commonUnits}, divided per window by the effective weight of the
     *     workspace
     * @param backloggedMillis the time in which it had requests waiting
     */
    public record Side(
            String workspace,
            String team,
            double teamWeight,
            double weight,
            double usedUnits,
            double commonUnits,
            double normalisedUnits,
            long backloggedMillis) {}

    /** Creates a comparison; the list is copied. */
    public WorkspaceComparison {
        sentences = List.copyOf(sentences);
    }

    /** Returns the comparison of two workspaces over the given windows. */
    public static WorkspaceComparison of(
            WorkspaceId left, WorkspaceId right, List<FleetWindow> windows, FleetConfig config) {
        WorkspaceSummary leftAll = sum(left, windows);
        WorkspaceSummary rightAll = sum(right, windows);
        List<FleetWindow> common =
                windows.stream()
                        .filter(each -> isBacklogged(leftAll, each) && isBacklogged(rightAll, each))
                        .toList();
        Side one = side(left, leftAll, common, config);
        Side other = side(right, rightAll, common, config);
        long commonMillis = TimeRange.overlapMillis(leftAll.backlogged(), rightAll.backlogged());
        double gapUnits = one.normalisedUnits() - other.normalisedUnits();
        List<String> sentences = sentences(one, other, commonMillis, gapUnits);
        return new WorkspaceComparison(one, other, commonMillis, gapUnits, sentences);
    }

    private static WorkspaceSummary sum(WorkspaceId workspace, List<FleetWindow> windows) {
        return windows.stream()
                .map(each -> each.summary(workspace))
                .reduce(WorkspaceSummary.NONE, WorkspaceSummary::plus);
    }

    private static boolean isBacklogged(WorkspaceSummary summary, FleetWindow window) {
        return TimeRange.overlapMillis(summary.backlogged(), List.of(window.range())) > 0;
    }

    private static Side side(
            WorkspaceId workspace,
            WorkspaceSummary all,
            List<FleetWindow> common,
            FleetConfig config) {
        double commonUnits = 0;
        double normalisedUnits = 0;
        for (FleetWindow window : common) {
            double units = window.summary(workspace).usedUnits();
            commonUnits += units;
            normalisedUnits += units / window.weight(workspace, config);
        }
        String team = config.workspace(workspace).map(WorkspaceConfig::team).orElse("unknown");
        double weight =
                config.workspace(workspace)
                        .map(WorkspaceConfig::weight)
                        .orElse(FleetConfig.DEFAULT_WEIGHT);
        return new Side(
                workspace.value(),
                team,
                config.teamWeight(team),
                weight,
                all.usedUnits(),
                commonUnits,
                normalisedUnits,
                all.backloggedMillis());
    }

    private static List<String> sentences(
            Side one, Side other, long commonMillis, double gapUnits) {
        List<String> sentences = new ArrayList<>();
        sentences.add(sentence(one));
        sentences.add(sentence(other));
        if (commonMillis == 0) {
            sentences.add(
                    "They never had requests waiting at the same time, so neither took service"
                            + " from the other.");
            return sentences;
        }
        String leader = gapUnits >= 0 ? one.workspace() : other.workspace();
        sentences.add(
                String.format(
                        Locale.ROOT,
                        "Both had requests waiting for %d ms; for its weight %s got %.1f units"
                                + " more in that time.",
                        commonMillis,
                        leader,
                        Math.abs(gapUnits)));
        return sentences;
    }

    private static String sentence(Side side) {
        return String.format(
                Locale.ROOT,
                "%s (team %s with weight %s, own weight %s) used %.1f units and had requests"
                        + " waiting for %d ms.",
                side.workspace(),
                side.team(),
                side.teamWeight(),
                side.weight(),
                side.usedUnits(),
                side.backloggedMillis());
    }
}
