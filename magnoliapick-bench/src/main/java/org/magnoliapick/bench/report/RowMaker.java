package org.magnoliapick.bench.report;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.HdrHistogram.Histogram;
import org.magnoliapick.bench.driver.Measurements;
import org.magnoliapick.bench.driver.ServiceMeter;
import org.magnoliapick.bench.scenario.Scenario;

/** Makes rows from the measurements of a policy and of the ideal queue under the same load. */
public final class RowMaker {
    private static final double SECONDS_PER_SAMPLE = ServiceMeter.SAMPLE_MILLIS / 1_000.0;
    private static final int SAMPLES_OF_UTILISATION = 20;

    private final Scenario mScenario;
    private final long mSeed;
    private final Measurements mIdeal;
    private final List<Windows.Window> mSteady;

    /** Prepares rows of one scenario and seed. */
    public RowMaker(Scenario scenario, long seed, Measurements ideal) {
        mScenario = scenario;
        mSeed = seed;
        mIdeal = ideal;
        mSteady = Windows.steady(scenario);
    }

    /** Makes the row of a policy. */
    public PolicyRow row(String policy, Measurements run) {
        List<TargetRow> targets = new ArrayList<>();
        List<RecoveryRow> recoveries = new ArrayList<>();
        for (int target = 0; target < mScenario.targets().size(); target++) {
            TargetRow row = targetRow(target, run);
            targets.add(row);
            for (Windows.Window window : Windows.recoveries(mScenario)) {
                recoveries.add(recoveryRow(target, run, row, window));
            }
        }
        List<QueueRow> queue = new ArrayList<>();
        run.queueMillis().forEach((key, histogram) -> queue.add(queueRow(key, histogram)));
        return new PolicyRow(
                mScenario.name(),
                policy,
                mSeed,
                run.whole(),
                run.refused(),
                run.failedAttempts(),
                run.startsAfterLeaving(),
                run.control(),
                targets,
                queue,
                recoveries);
    }

    private TargetRow targetRow(int target, Measurements run) {
        double gap = Gap.largestUnits(run.service(), target, mSteady);
        double idealGap = Gap.largestUnits(mIdeal.service(), target, mSteady);
        double largestCost = mIdeal.largestCostUnits(target);
        double inFlight = mIdeal.service().mostInFlightUnits(target);
        return new TargetRow(
                mScenario.targets().get(target),
                gap,
                largestCost,
                largestCost == 0 ? 0 : gap / largestCost,
                inFlight,
                Bounds.GAP_FACTOR * (largestCost + inFlight),
                idealGap,
                Utilisation.of(run.service(), target, mSteady),
                Utilisation.of(mIdeal.service(), target, mSteady));
    }

    private RecoveryRow recoveryRow(
            int target, Measurements run, TargetRow row, Windows.Window window) {
        return new RecoveryRow(
                window.label(),
                mScenario.targets().get(target),
                gapSeconds(target, run, row, window),
                utilisationSeconds(target, run, window));
    }

    /** The later a window starts, the smaller its gap: finds the first start that is in bounds. */
    private OptionalDouble gapSeconds(
            int target, Measurements run, TargetRow row, Windows.Window window) {
        double bound = Bounds.gapUnits(row.gapBoundUnits(), row.idealGapUnits());
        int low = window.first();
        int high = window.last();
        if (gapFrom(target, run, low, window) <= bound) {
            return OptionalDouble.of(0);
        }
        while (high - low > 1) {
            int middle = (low + high) / 2;
            if (gapFrom(target, run, middle, window) <= bound) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return OptionalDouble.of((high - window.first()) * SECONDS_PER_SAMPLE);
    }

    private static double gapFrom(int target, Measurements run, int first, Windows.Window window) {
        Windows.Window rest = new Windows.Window(window.label(), first, window.last());
        return Gap.largestUnits(run.service(), target, rest);
    }

    /** Finds the first time after which 2 s of utilisation stay in bounds. */
    private OptionalDouble utilisationSeconds(int target, Measurements run, Windows.Window window) {
        int inBoundsFrom = window.first();
        for (int i = window.first(); i + SAMPLES_OF_UTILISATION <= window.last(); i++) {
            List<Windows.Window> part =
                    List.of(new Windows.Window("", i, i + SAMPLES_OF_UTILISATION));
            double own = Utilisation.of(run.service(), target, part);
            double ideal = Utilisation.of(mIdeal.service(), target, part);
            if (own < Bounds.UTILISATION_OF_IDEAL * ideal) {
                inBoundsFrom = i + 1;
            }
        }
        if (inBoundsFrom + SAMPLES_OF_UTILISATION > window.last()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of((inBoundsFrom - window.first()) * SECONDS_PER_SAMPLE);
    }

    private static QueueRow queueRow(Measurements.QueueKey key, Histogram histogram) {
        return new QueueRow(
                key.requestClass().wireName(),
                key.group(),
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(95),
                histogram.getValueAtPercentile(99));
    }
}
