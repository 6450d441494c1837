package org.magnoliapick.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.magnoliapick.record.BurnReport;

/** The drawings of the service-level page. */
final class BurnPlots {
    /** Colours that people with the common kinds of colour blindness can tell apart. */
    static final List<String> COLOURS =
            List.of(
                    "#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00", "#b8a800",
                    "#666666");

    private static final int MAX_NAMED = COLOURS.size() - 1;
    private static final String OTHERS = "others";
    private static final int PLOT_BOTTOM = 150;
    private static final int PLOT_HEIGHT = 176;
    private static final int ROW_HEIGHT = 34;
    private static final int BAR_HEIGHT = 12;
    private static final int BAR_TOP = 18;
    private static final int BAR_RIGHT = 300;

    private BurnPlots() {}

    /** Returns each workspace's service per step; all but the largest are summed as others. */
    static Map<String, double[]> services(BurnReport report) {
        List<BurnReport.WorkspacePart> parts = new ArrayList<>(report.workspaces());
        parts.sort(Comparator.comparingDouble((BurnReport.WorkspacePart it) -> -total(it)));
        Map<String, double[]> services = new LinkedHashMap<>();
        for (int i = 0; i < parts.size(); i++) {
            String name = i < MAX_NAMED ? parts.get(i).workspace() : OTHERS;
            List<Double> units = parts.get(i).usedUnits();
            double[] sum = services.computeIfAbsent(name, key -> new double[units.size()]);
            for (int step = 0; step < sum.length; step++) {
                sum[step] += units.get(step);
            }
        }
        services.values().removeIf(units -> Arrays.stream(units).sum() == 0);
        return services;
    }

    /** Draws the share of each workspace in the service of each step. */
    static String shares(Map<String, double[]> services, BurnReport report) {
        SvgPlot plot = new SvgPlot(PLOT_HEIGHT, "Service shares over time");
        int steps = report.gapUnits().size();
        double stepWidth = (double) (SvgPlot.RIGHT - SvgPlot.LEFT) / Math.max(1, steps);
        for (int step = 0; step < steps; step++) {
            double whole = 0;
            for (double[] units : services.values()) {
                whole += units[step];
            }
            double y = PLOT_BOTTOM;
            int colour = 0;
            for (double[] units : services.values()) {
                double height = whole == 0 ? 0 : units[step] / whole * (PLOT_BOTTOM - SvgPlot.TOP);
                y -= height;
                double x = SvgPlot.LEFT + step * stepWidth;
                plot.rect(x, y, stepWidth + 0.1, height, COLOURS.get(colour++));
            }
        }
        plot.text(SvgPlot.LEFT - 4, SvgPlot.TOP + 8, "end", "100 %");
        plot.text(SvgPlot.LEFT - 4, PLOT_BOTTOM, "end", "0 %");
        return withTimes(plot, report).toString();
    }

    /** Draws the gap over time. */
    static String gap(BurnReport report) {
        SvgPlot plot = new SvgPlot(PLOT_HEIGHT, "Service gap over time");
        double max = report.gapUnits().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        double scale = max == 0 ? 0 : (PLOT_BOTTOM - SvgPlot.TOP) / max;
        int steps = report.gapUnits().size();
        double stepWidth = (double) (SvgPlot.RIGHT - SvgPlot.LEFT) / Math.max(1, steps);
        List<double[]> points = new ArrayList<>();
        for (int step = 0; step < steps; step++) {
            double y = PLOT_BOTTOM - report.gapUnits().get(step) * scale;
            points.add(new double[] {SvgPlot.LEFT + (step + 0.5) * stepWidth, y});
        }
        plot.polyline(points, COLOURS.get(0));
        if (max > 0) {
            plot.text(SvgPlot.LEFT - 4, SvgPlot.TOP + 8, "end", Units.number(Math.rint(max)));
        }
        plot.text(SvgPlot.LEFT - 4, PLOT_BOTTOM, "end", "0");
        return withTimes(plot, report).toString();
    }

    /** Draws the burn rate of the last hour for each objective, with a mark at 1. */
    static String burn(BurnReport report) {
        Map<String, Double> rates = new LinkedHashMap<>();
        for (BurnReport.WorkspacePart part : report.workspaces()) {
            for (BurnReport.Level level : part.levels()) {
                double rate = level.rates().get(level.rates().size() - 1).rate();
                rates.put(part.workspace() + " " + level.requestClass(), rate);
            }
        }
        double max = Math.max(2, rates.values().stream().mapToDouble(it -> it).max().orElse(0));
        SvgPlot plot = new SvgPlot(rates.size() * ROW_HEIGHT + BAR_TOP, "Burn rate of the hour");
        int row = 0;
        for (Map.Entry<String, Double> each : rates.entrySet()) {
            double y = row++ * ROW_HEIGHT;
            double width = each.getValue() / max * BAR_RIGHT;
            String colour = each.getValue() > 1 ? COLOURS.get(5) : COLOURS.get(2);
            plot.text(0, y + BAR_TOP - 4, "start", each.getKey());
            plot.rect(0, y + BAR_TOP, Math.max(1, width), BAR_HEIGHT, colour);
            plot.text(width + 6, y + BAR_TOP + 10, "start", Units.number(each.getValue()));
        }
        double one = BAR_RIGHT / max;
        plot.line(one, 0, one, rates.size() * ROW_HEIGHT);
        plot.text(one, rates.size() * ROW_HEIGHT + 12, "middle", "1 = budget just used up");
        return plot.toString();
    }

    /** Returns the causes of waiting in the report, in a fixed order. */
    static List<String> causes(BurnReport report) {
        TreeSet<String> causes = new TreeSet<>();
        report.workspaces().forEach(part -> causes.addAll(part.waitedMillis().keySet()));
        return List.copyOf(causes);
    }

    /** Draws the time waited by cause for each workspace that waited. */
    static String waiting(BurnReport report) {
        Map<String, Map<String, Long>> waiting = new TreeMap<>();
        for (BurnReport.WorkspacePart part : report.workspaces()) {
            if (!part.waitedMillis().isEmpty()) {
                waiting.put(part.workspace(), part.waitedMillis());
            }
        }
        double max = waiting.values().stream().mapToDouble(BurnPlots::sum).max().orElse(1);
        List<String> causes = causes(report);
        SvgPlot plot = new SvgPlot(waiting.size() * ROW_HEIGHT + 4, "Queue time by cause");
        int row = 0;
        for (Map.Entry<String, Map<String, Long>> each : waiting.entrySet()) {
            double y = row++ * ROW_HEIGHT;
            double x = 0;
            for (int i = 0; i < causes.size(); i++) {
                double width = each.getValue().getOrDefault(causes.get(i), 0L) / max * BAR_RIGHT;
                plot.rect(x, y + BAR_TOP, width, BAR_HEIGHT, colour(i));
                x += width;
            }
            String seconds = Units.number(sum(each.getValue()) / 1_000.0) + " s";
            plot.text(0, y + BAR_TOP - 4, "start", each.getKey());
            plot.text(x + 6, y + BAR_TOP + 10, "start", seconds);
        }
        return plot.toString();
    }

    static String colour(int place) {
        return COLOURS.get(place % COLOURS.size());
    }

    private static SvgPlot withTimes(SvgPlot plot, BurnReport report) {
        plot.line(SvgPlot.LEFT, PLOT_BOTTOM, SvgPlot.RIGHT, PLOT_BOTTOM);
        plot.line(SvgPlot.LEFT, SvgPlot.TOP, SvgPlot.LEFT, PLOT_BOTTOM);
        plot.text(SvgPlot.LEFT, PLOT_BOTTOM + 16, "start", "1 h ago");
        return plot.text(SvgPlot.RIGHT, PLOT_BOTTOM + 16, "end", "now");
    }

    private static double total(BurnReport.WorkspacePart part) {
        return part.usedUnits().stream().mapToDouble(Double::doubleValue).sum();
    }

    private static double sum(Map<String, Long> waited) {
        return waited.values().stream().mapToLong(Long::longValue).sum();
    }
}
