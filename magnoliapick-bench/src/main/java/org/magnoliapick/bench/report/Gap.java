package org.magnoliapick.bench.report;

import java.util.List;
import org.magnoliapick.bench.driver.Flow;
import org.magnoliapick.bench.driver.ServiceMeter;

/**
 * The largest gap in normalised service: over all pairs of workspaces and all intervals in which
 * both were backlogged without a break, the largest difference of what they got in the interval.
 */
public final class Gap {
    private Gap() {}

    /** Returns the largest gap at a target within a window, in service units. */
    public static double largestUnits(ServiceMeter meter, int target, Windows.Window window) {
        int[] flows =
                meter.flows().stream()
                        .filter(flow -> flow.targetIndex() == target)
                        .mapToInt(Flow::index)
                        .toArray();
        double largest = 0;
        for (int i = 0; i < flows.length; i++) {
            for (int j = i + 1; j < flows.length; j++) {
                largest = Math.max(largest, ofPair(meter, flows[i], flows[j], window));
            }
        }
        return largest;
    }

    /** Returns the largest gap at a target over several windows, in service units. */
    public static double largestUnits(
            ServiceMeter meter, int target, List<Windows.Window> windows) {
        return windows.stream()
                .mapToDouble(window -> largestUnits(meter, target, window))
                .max()
                .orElse(0);
    }

    private static double ofPair(ServiceMeter meter, int a, int b, Windows.Window window) {
        double largest = 0;
        double least = 0;
        double most = 0;
        boolean together = false;
        for (int sample = window.first(); sample <= window.last(); sample++) {
            boolean[] backlog = meter.backlog(sample);
            if (!backlog[a] || !backlog[b]) {
                together = false;
                continue;
            }
            double[] service = meter.service(sample);
            double difference = service[a] - service[b];
            least = together ? Math.min(least, difference) : difference;
            most = together ? Math.max(most, difference) : difference;
            together = true;
            largest = Math.max(largest, most - least);
        }
        return largest;
    }
}
