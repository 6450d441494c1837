package org.magnoliapick.record;

import java.util.List;
import java.util.Map;

/**
 * The service levels of the last hour, ready to be written as text or drawn.
 *
 * @param fromMillis the beginning, in milliseconds since the epoch
 * @param toMillis the end
 * @param stepMillis the length of one step of the series
 * @param configOffset the configuration whose objectives and weights were used
 * @param unanswered the instances that did not answer
 * @param gapUnits per step the largest difference in normalised service between any two workspaces
 *     that had requests waiting
 * @param workspaces the workspaces with any service, waiting or objective
 */
public record BurnReport(
        long fromMillis,
        long toMillis,
        long stepMillis,
        long configOffset,
        List<String> unanswered,
        List<Double> gapUnits,
        List<WorkspacePart> workspaces) {
    /**
     * One workspace.
     *
     * @param workspace its name
     * @param team its team
     * @param usedUnits the service used per step
     * @param waitedMillis the time waited by cause
     * @param levels its objectives
     */
    public record WorkspacePart(
            String workspace,
            String team,
            List<Double> usedUnits,
            Map<String, Long> waitedMillis,
            List<Level> levels) {}

    /**
     * One objective.
     *
     * @param requestClass the class of requests it is for
     * @param objective the objective in words
     * @param successRatio the share of requests that have to meet it
     * @param counts what was met and missed
     * @param rates the burn rates
     * @param budgetLeft the part of the hour's error budget that is left; negative if overdrawn
     * @param state how urgent it is
     */
    public record Level(
            String requestClass,
            String objective,
            double successRatio,
            LevelCounts counts,
            List<Rate> rates,
            double budgetLeft,
            BurnState state) {}

    /**
     * The burn rate over a window that ends now.
     *
     * @param windowMillis the length of the window
     * @param rate how fast the budget burns; 1 uses it up exactly in the time it is for
     */
    public record Rate(long windowMillis, double rate) {}

    /** Copies the lists. */
    public BurnReport {
        unanswered = List.copyOf(unanswered);
        gapUnits = List.copyOf(gapUnits);
        workspaces = List.copyOf(workspaces);
    }
}
