package org.magnoliapick.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.magnoliapick.record.BurnReport;

/** The service-level report as lines of text. */
public final class BurnText {
    private static final double PERCENT = 100;

    private BurnText() {}

    /** Returns the lines. */
    public static List<String> lines(BurnReport report) {
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        Locale.ROOT,
                        "Service levels of the hour up to %s, configuration %d.",
                        Units.time(report.toMillis()),
                        report.configOffset()));
        boolean hasLevels = false;
        for (BurnReport.WorkspacePart part : report.workspaces()) {
            for (BurnReport.Level level : part.levels()) {
                hasLevels = true;
                lines.add(level(part, level));
            }
        }
        if (!hasLevels) {
            lines.add("No workspace has an objective; set one under .../objectives/CLASS/.");
        }
        report.workspaces().forEach(part -> lines.addAll(waiting(part)));
        return lines;
    }

    private static String level(BurnReport.WorkspacePart part, BurnReport.Level level) {
        StringBuilder line = new StringBuilder();
        line.append(
                String.format(
                        Locale.ROOT,
                        "%s %s: %s for %s %% of requests; %d of %d missed it;",
                        part.workspace(),
                        level.requestClass(),
                        level.objective(),
                        Units.number(level.successRatio() * PERCENT),
                        level.counts().missed(),
                        level.counts().requests()));
        for (BurnReport.Rate rate : level.rates()) {
            line.append(
                    String.format(
                            Locale.ROOT,
                            " burn rate %s over %s,",
                            Units.number(rate.rate()),
                            Units.duration(rate.windowMillis())));
        }
        line.append(
                String.format(
                        Locale.ROOT,
                        " %s %% of the budget left (%s).",
                        Units.number(level.budgetLeft() * PERCENT),
                        Units.words(level.state())));
        return line.toString();
    }

    private static List<String> waiting(BurnReport.WorkspacePart part) {
        List<String> lines = new ArrayList<>();
        for (Map.Entry<String, Long> each : part.waitedMillis().entrySet()) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%s waited %d ms in all: %s.",
                            part.workspace(),
                            each.getValue(),
                            each.getKey()));
        }
        return lines;
    }
}
