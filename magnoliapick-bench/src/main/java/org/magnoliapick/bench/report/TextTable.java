package org.magnoliapick.bench.report;

import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

/** Writes rows as text for people. */
public final class TextTable {
    private static final String NOT_MEASURED = "not measured";

    private TextTable() {}

    /** Formats the rows of one scenario. */
    public static String format(List<PolicyRow> rows) {
        StringBuilder text = new StringBuilder();
        for (PolicyRow row : rows) {
            append(text, row);
        }
        return text.toString();
    }

    private static void append(StringBuilder text, PolicyRow row) {
        text.append(
                String.format(
                        Locale.ROOT,
                        "%s %s seed %d: whole %d, refused %d, failed attempts %d%n",
                        row.scenario(),
                        row.policy(),
                        row.seed(),
                        row.whole(),
                        row.refused(),
                        row.failedAttempts()));
        for (TargetRow target : row.targets()) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  %-8s gap %.0f units (%.2f costs; ideal %.0f; bound %.0f), "
                                    + "utilisation %.4f (ideal %.4f)%n",
                            target.target(),
                            target.gapUnits(),
                            target.gapInCosts(),
                            target.idealGapUnits(),
                            target.gapBoundUnits(),
                            target.utilisation(),
                            target.idealUtilisation()));
        }
        text.append(
                String.format(
                        Locale.ROOT,
                        "  control  %.2f messages and %s bytes a request; "
                                + "%.1f messages and %s bytes a second at the busiest node%n",
                        row.control().messagesPerRequest(),
                        number(row.control().bytesPerRequest()),
                        row.control().messagesPerNodeSecond(),
                        number(row.control().bytesPerNodeSecond())));
        for (QueueRow queue : row.queue()) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  %-8s %-6s queue p50 %d ms, p95 %d ms, p99 %d ms (%d started)%n",
                            queue.requestClass(),
                            queue.group(),
                            queue.p50Millis(),
                            queue.p95Millis(),
                            queue.p99Millis(),
                            queue.count()));
        }
        for (RecoveryRow recovery : row.recoveries()) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  %s %s back in bounds: gap %s s, utilisation %s s%n",
                            recovery.fault(),
                            recovery.target(),
                            seconds(recovery.gapSeconds()),
                            seconds(recovery.utilisationSeconds())));
        }
    }

    private static String number(OptionalDouble value) {
        return value.isPresent()
                ? String.format(Locale.ROOT, "%.0f", value.getAsDouble())
                : NOT_MEASURED;
    }

    private static String seconds(OptionalDouble value) {
        return value.isPresent()
                ? String.format(Locale.ROOT, "%.1f", value.getAsDouble())
                : "never";
    }
}
