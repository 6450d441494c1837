package org.magnoliapick.bench.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.magnoliapick.bench.driver.ServiceMeter;
import org.magnoliapick.bench.scenario.Fault;
import org.magnoliapick.bench.scenario.Scenario;

/** Cuts a run into times without fault, and times in which it recovers from one. */
public final class Windows {
    /** When a run has to be back in bounds after a fault, in seconds. */
    public static final double RECOVERY_SECONDS = 5;

    private static final double SAMPLES_PER_SECOND = 1_000.0 / ServiceMeter.SAMPLE_MILLIS;

    /**
     * Samples from the first to the last, both included.
     *
     * @param label what comes before it
     * @param first the first sample
     * @param last the last sample
     */
    public record Window(String label, int first, int last) {}

    private Windows() {}

    /** Returns the number of the sample taken at a time in seconds. */
    public static int sampleAt(double seconds) {
        return (int) Math.round(seconds * SAMPLES_PER_SECOND) - 1;
    }

    /** Returns the windows in which the bounds hold: before, between and well after faults. */
    public static List<Window> steady(Scenario scenario) {
        List<Window> windows = new ArrayList<>();
        double from = scenario.warmupSeconds();
        for (Fault fault : inOrder(scenario)) {
            add(windows, "steady", from, fault.atSeconds());
            from = Math.max(from, endSeconds(scenario, fault) + RECOVERY_SECONDS);
        }
        add(windows, "steady", from, scenario.durationSeconds());
        return windows;
    }

    /** Returns for each fault the window from its end to the next fault. */
    public static List<Window> recoveries(Scenario scenario) {
        List<Window> windows = new ArrayList<>();
        List<Fault> faults = inOrder(scenario);
        for (int i = 0; i < faults.size(); i++) {
            double to =
                    i + 1 < faults.size()
                            ? faults.get(i + 1).atSeconds()
                            : scenario.durationSeconds();
            add(windows, faults.get(i).label(), endSeconds(scenario, faults.get(i)), to);
        }
        return windows;
    }

    /** An upstream that leaves for good is over as soon as the list has shown it. */
    private static double endSeconds(Scenario scenario, Fault fault) {
        if (fault.untilSeconds() >= scenario.durationSeconds()) {
            return fault.atSeconds() + scenario.membership().listLagMillis() / 1_000.0;
        }
        return fault.untilSeconds();
    }

    private static List<Fault> inOrder(Scenario scenario) {
        return scenario.faults().stream()
                .sorted(Comparator.comparingDouble(Fault::atSeconds))
                .toList();
    }

    private static void add(List<Window> windows, String label, double from, double to) {
        if (to - from >= 1) {
            windows.add(new Window(label, Math.max(0, sampleAt(from)), sampleAt(to)));
        }
    }
}
