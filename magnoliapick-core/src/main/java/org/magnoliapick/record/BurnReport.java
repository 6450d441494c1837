package org.magnoliapick.record;

import java.util.List;
import java.util.Map;

/**
 * Burn-rate report of the service-level objectives over the last hour, ready for text or plots.
 *
 * @param fromMillis the start of the report, in milliseconds since the epoch
 * @param toMillis the end of the report, in milliseconds since the epoch
 * @param stepMillis the length of one step of the time series
 * @param configOffset the offset of the configuration whose objectives and weights were used
 * @param unanswered the instances that did not answer
 * @param gapUnits per step, the largest difference in normalised service (service units divided by
 *     effective weight) between any two workspaces that were backlogged during the whole step
 * @param workspaces the workspaces with any activity or objective
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
     * The part of the report about one workspace.
     *
     * @param workspace the name of the workspace
     * @param team the name of its team
     * @param usedUnits the service used per step, in service units
     * @param waitedMillis the time that its requests waited, by cause
     * @param levels its objectives and how well they were met
     */
    public record WorkspacePart(
            String workspace,
            String team,
            List<Double> usedUnits,
            Map<String, Long> waitedMillis,
            List<Level> levels) {}

    /**
     * An objective and how well it was met.
     *
     * @param requestClass the class of requests that it applies to
     * @param objective a description of the objective
     * @param successRatio the fraction of requests that must meet it
     * @param counts the requests that met and missed it
     * @param rates the burn rates over windows of increasing length
     * @param budgetLeft the remaining fraction of the hour's error budget; negative if overdrawn
     * @param state the severity of the burn
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
     * @param rate the rate of error budget consumption; at 1 the budget is used up exactly at the
     *     end of its period
     */
    public record Rate(long windowMillis, double rate) {}

    /** Creates a report; the lists are copied. */
    public BurnReport {
        unanswered = List.copyOf(unanswered);
        gapUnits = List.copyOf(gapUnits);
        workspaces = List.copyOf(workspaces);
    }
}
