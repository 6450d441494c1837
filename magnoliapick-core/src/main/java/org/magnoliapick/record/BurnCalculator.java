package org.magnoliapick.record;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.Objective;
import org.magnoliapick.config.WorkspaceConfig;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.WorkspaceId;

/**
 * Computes the burn-rate report of the service-level objectives from the windows of the last hour.
 */
public final class BurnCalculator {
    /** The lengths of the windows over which burn rates are computed, in milliseconds. */
    public static final List<Long> RATE_WINDOWS_MILLIS = List.of(300_000L, 900_000L, 3_600_000L);

    private static final long STEP_MILLIS = 60_000;

    private final List<FleetWindow> mWindows;
    private final FleetConfig mConfig;
    private final long mToMillis;
    private final long mFromMillis;
    private final int mSteps;

    /**
     * Creates a calculator.
     *
     * @param windows the windows of the hour that ends at {@code nowMillis}, oldest first
     * @param config the configuration whose objectives and weights are used
     * @param nowMillis the end of the report, in milliseconds since the epoch
     */
    public BurnCalculator(List<FleetWindow> windows, FleetConfig config, long nowMillis) {
        mWindows = List.copyOf(windows);
        mConfig = config;
        mToMillis = nowMillis;
        mFromMillis = nowMillis - SummaryHistory.RETENTION_MILLIS;
        mSteps = (int) (SummaryHistory.RETENTION_MILLIS / STEP_MILLIS);
    }

    /**
     * Returns the report.
     *
     * @param unanswered the instances that did not answer, listed in the report
     */
    public BurnReport report(List<String> unanswered) {
        TreeSet<WorkspaceId> ids = new TreeSet<>(mConfig.objectives().keySet());
        mWindows.forEach(window -> ids.addAll(window.workspaces().keySet()));
        List<BurnReport.WorkspacePart> parts = new ArrayList<>();
        ids.forEach(id -> parts.add(part(id)));
        return new BurnReport(
                mFromMillis,
                mToMillis,
                STEP_MILLIS,
                mConfig.offset(),
                unanswered,
                gaps(ids),
                parts);
    }

    private BurnReport.WorkspacePart part(WorkspaceId id) {
        double[] units = new double[mSteps];
        for (FleetWindow window : mWindows) {
            double usedUnits = window.summary(id).usedUnits();
            stepIndex(window).ifPresent(step -> units[step] += usedUnits);
        }
        Map<String, Long> waited = new TreeMap<>();
        sum(id).waitedMillis().forEach((cause, millis) -> waited.put(cause.wireName(), millis));
        List<BurnReport.Level> levels = new ArrayList<>();
        for (RequestClass requestClass : RequestClass.values()) {
            mConfig.objective(id, requestClass)
                    .ifPresent(it -> levels.add(level(id, requestClass, it)));
        }
        String team = mConfig.workspace(id).map(WorkspaceConfig::team).orElse("unknown");
        return new BurnReport.WorkspacePart(id.value(), team, toList(units), waited, levels);
    }

    private BurnReport.Level level(WorkspaceId id, RequestClass requestClass, Objective objective) {
        List<BurnReport.Rate> rates = new ArrayList<>();
        for (long windowMillis : RATE_WINDOWS_MILLIS) {
            LevelCounts counts = counts(id, requestClass, mToMillis - windowMillis);
            rates.add(new BurnReport.Rate(windowMillis, counts.burnRate(objective.successRatio())));
        }
        double hourRate = rates.get(rates.size() - 1).rate();
        return new BurnReport.Level(
                requestClass.wireName(),
                describe(objective),
                objective.successRatio(),
                counts(id, requestClass, mFromMillis),
                rates,
                1 - hourRate,
                BurnState.of(rates.get(0).rate(), hourRate));
    }

    private LevelCounts counts(WorkspaceId id, RequestClass requestClass, long fromMillis) {
        return mWindows.stream()
                .filter(window -> window.range().toMillis() > fromMillis)
                .map(window -> window.summary(id).levels())
                .map(levels -> levels.getOrDefault(requestClass, LevelCounts.NONE))
                .reduce(LevelCounts.NONE, LevelCounts::plus);
    }

    /**
     * Returns, per step, the difference between the largest and smallest normalised service of the
     * workspaces that were backlogged during the whole step.
     */
    private List<Double> gaps(TreeSet<WorkspaceId> ids) {
        Map<WorkspaceId, List<TimeRange>> backlogged = new TreeMap<>();
        for (WorkspaceId id : ids) {
            backlogged.put(id, sum(id).backlogged());
        }
        double[] gaps = new double[mSteps];
        for (int step = 0; step < mSteps; step++) {
            long startMillis = mFromMillis + step * STEP_MILLIS;
            TimeRange range = new TimeRange(startMillis, startMillis + STEP_MILLIS);
            gaps[step] = gap(range, backlogged);
        }
        return toList(gaps);
    }

    private double gap(TimeRange step, Map<WorkspaceId, List<TimeRange>> backlogged) {
        List<FleetWindow> inStep =
                mWindows.stream()
                        .filter(it -> it.range().fromMillis() >= step.fromMillis())
                        .filter(it -> it.range().fromMillis() < step.toMillis())
                        .toList();
        double[] services =
                backlogged.keySet().stream()
                        .filter(id -> covers(backlogged.get(id), step))
                        .mapToDouble(id -> normalisedUnits(id, inStep))
                        .toArray();
        return services.length < 2
                ? 0
                : Arrays.stream(services).max().getAsDouble()
                        - Arrays.stream(services).min().getAsDouble();
    }

    private static boolean covers(List<TimeRange> backlogged, TimeRange step) {
        return TimeRange.overlapMillis(backlogged, List.of(step)) == step.lengthMillis();
    }

    private WorkspaceSummary sum(WorkspaceId id) {
        return mWindows.stream()
                .map(window -> window.summary(id))
                .reduce(WorkspaceSummary.NONE, WorkspaceSummary::plus);
    }

    private double normalisedUnits(WorkspaceId id, List<FleetWindow> windows) {
        return windows.stream()
                .mapToDouble(it -> it.summary(id).usedUnits() / it.weight(id, mConfig))
                .sum();
    }

    private Optional<Integer> stepIndex(FleetWindow window) {
        long step = Math.floorDiv(window.range().fromMillis() - mFromMillis, STEP_MILLIS);
        return step >= 0 && step < mSteps ? Optional.of((int) step) : Optional.empty();
    }

    private static String describe(Objective objective) {
        List<String> conditions = new ArrayList<>();
        objective.latencyMillis().ifPresent(it -> conditions.add("answer within " + it + " ms"));
        objective
                .firstTokenMillis()
                .ifPresent(it -> conditions.add("first token within " + it + " ms"));
        objective
                .tokenGapMillis()
                .ifPresent(it -> conditions.add("next token within " + it + " ms"));
        return conditions.isEmpty() ? "whole answer" : String.join(", ", conditions);
    }

    private static List<Double> toList(double[] numbers) {
        return Arrays.stream(numbers).boxed().toList();
    }
}
