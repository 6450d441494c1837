package org.magnoliapick.internal.share;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.share.QueuedRequest;

/**
 * Estimates the cost of a request as a high quantile of the costs of finished requests of the same
 * workspace, target and class. A caller's hint is used only until the first of them has finished.
 */
final class CostEstimator {
    private static final double QUANTILE = 0.75;
    private static final double STEP_RATIO = 0.1;
    private static final double MIN_UNITS = 1;
    private static final double MODEL_PRIOR_UNITS = 400;
    private static final double SERVICE_PRIOR_UNITS = 200;

    /** A hint is clamped to between the prior divided by this and the prior multiplied by it. */
    private static final double MAX_HINT_RATIO = 10;

    private final Map<Key, Double> mEstimates = new HashMap<>();

    private record Key(WorkspaceId workspace, String target, RequestClass requestClass) {
        static Key of(QueuedRequest request) {
            return new Key(request.workspace(), request.target(), request.requestClass());
        }
    }

    /** Returns the estimated cost of a request, in service units. */
    double estimate(QueuedRequest request) {
        Double known = mEstimates.get(Key.of(request));
        return known == null ? prior(request.kind(), request.hintUnits()) : known;
    }

    /** Updates the estimate with the cost of a finished request, in service units. */
    void observe(QueuedRequest request, double usedUnits) {
        double used = Math.max(MIN_UNITS, Units.clampRequest(usedUnits));
        mEstimates.merge(Key.of(request), used, CostEstimator::stepTowards);
    }

    /**
     * Moves an estimate one step towards a cost. The steps up and down are in the ratio of {@code
     * QUANTILE} to {@code 1 - QUANTILE}, so that the estimate converges to that quantile.
     */
    private static double stepTowards(double estimate, double used) {
        if (used > estimate) {
            return Math.min(used, estimate * (1 + STEP_RATIO * QUANTILE));
        }
        return Math.max(used, estimate * (1 - STEP_RATIO * (1 - QUANTILE)));
    }

    private static double prior(TargetKind kind, OptionalDouble hintUnits) {
        double prior = kind == TargetKind.MODEL ? MODEL_PRIOR_UNITS : SERVICE_PRIOR_UNITS;
        double hint = Units.clampRequest(hintUnits.orElse(prior));
        return Math.max(prior / MAX_HINT_RATIO, Math.min(prior * MAX_HINT_RATIO, hint));
    }
}
