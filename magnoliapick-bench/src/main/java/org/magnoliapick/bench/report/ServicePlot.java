package org.magnoliapick.bench.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.magnoliapick.bench.driver.Measurements;
import org.magnoliapick.bench.driver.ServiceMeter;

/** Plots for each policy how far the workspaces' normalised service lies apart over time. */
public final class ServicePlot {
    private static final int WIDTH_PIXELS = 1_000;
    private static final int HEIGHT_PIXELS = 600;
    private static final int SAMPLES_PER_POINT = 10;
    private static final double SECONDS_PER_SAMPLE = ServiceMeter.SAMPLE_MILLIS / 1_000.0;

    private ServicePlot() {}

    /**
     * Writes the plot; the ending of the file decides between PNG and SVG.
     *
     * @throws IOException if the file cannot be written
     */
    public static void write(Path file, String title, int target, Map<String, Measurements> runs)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(title)
                        .xAxisTitle("time (s)")
                        .yAxisTitle("most minus least normalised service (units)")
                        .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNW);
        runs.forEach((policy, run) -> addSeries(chart, policy, run.service(), target));
        if (isVector(file)) {
            VectorGraphicsEncoder.saveVectorGraphic(
                    chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        } else {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }

    /** Returns whether the ending of the file is one that can be written. */
    public static boolean canWrite(Path file) {
        return isVector(file) || lowerCase(file).endsWith(".png");
    }

    private static boolean isVector(Path file) {
        return lowerCase(file).endsWith(".svg");
    }

    private static String lowerCase(Path file) {
        return file.toString().toLowerCase(Locale.ROOT);
    }

    private static void addSeries(XYChart chart, String policy, ServiceMeter meter, int target) {
        List<Double> seconds = new ArrayList<>();
        List<Double> spread = new ArrayList<>();
        for (int sample = 0; sample < meter.samples(); sample += SAMPLES_PER_POINT) {
            seconds.add((sample + 1) * SECONDS_PER_SAMPLE);
            spread.add(spreadUnits(meter, sample, target));
        }
        chart.addSeries(policy, seconds, spread).setMarker(SeriesMarkers.NONE);
    }

    private static double spreadUnits(ServiceMeter meter, int sample, int target) {
        double[] service = meter.service(sample);
        boolean[] backlog = meter.backlog(sample);
        double least = Double.POSITIVE_INFINITY;
        double most = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < service.length; i++) {
            if (meter.flows().get(i).targetIndex() == target && backlog[i]) {
                least = Math.min(least, service[i]);
                most = Math.max(most, service[i]);
            }
        }
        return most >= least ? most - least : 0;
    }
}
