package org.magnoliapick.bench.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

/** The stated targets, as bounds. */
public final class Bounds {
    /** The gap is at most this many times the largest cost and the work in flight together. */
    public static final double GAP_FACTOR = 2;

    /** The gap is at most this many times the ideal queue's. */
    public static final double GAP_OF_IDEAL = 1.5;

    /** Utilisation is at least this part of the ideal queue's. */
    public static final double UTILISATION_OF_IDEAL = 0.97;

    /** A node sends and receives at most this many bytes of control a second. */
    public static final double CONTROL_BYTES_PER_SECOND = 17_000;

    private Bounds() {}

    /** Returns the largest gap allowed, in service units. */
    public static double gapUnits(double gapBoundUnits, double idealGapUnits) {
        return Math.min(gapBoundUnits, GAP_OF_IDEAL * idealGapUnits);
    }

    /** Returns a line for each target that the row misses. */
    public static List<String> misses(PolicyRow row) {
        List<String> misses = new ArrayList<>();
        for (TargetRow target : row.targets()) {
            checkTarget(row, target, misses);
        }
        OptionalDouble bytes = row.control().bytesPerNodeSecond();
        if (bytes.isPresent() && bytes.getAsDouble() > CONTROL_BYTES_PER_SECOND) {
            misses.add(line(row, "control bytes a second", bytes, "<=", CONTROL_BYTES_PER_SECOND));
        }
        for (RecoveryRow recovery : row.recoveries()) {
            String what = recovery.fault() + " " + recovery.target();
            checkRecovery(row, what + " gap", recovery.gapSeconds(), misses);
            checkRecovery(row, what + " utilisation", recovery.utilisationSeconds(), misses);
        }
        if (row.startsAfterLeaving() > 0) {
            OptionalDouble starts = OptionalDouble.of(row.startsAfterLeaving());
            misses.add(line(row, "starts at a leaving upstream", starts, "<=", 0));
        }
        return misses;
    }

    private static void checkTarget(PolicyRow row, TargetRow target, List<String> misses) {
        OptionalDouble gap = OptionalDouble.of(target.gapUnits());
        if (target.gapUnits() > target.gapBoundUnits()) {
            misses.add(line(row, target.target() + " gap", gap, "<=", target.gapBoundUnits()));
        }
        double ofIdeal = GAP_OF_IDEAL * target.idealGapUnits();
        if (target.gapUnits() > ofIdeal) {
            misses.add(line(row, target.target() + " gap against the ideal", gap, "<=", ofIdeal));
        }
        double least = UTILISATION_OF_IDEAL * target.idealUtilisation();
        if (target.utilisation() < least) {
            OptionalDouble utilisation = OptionalDouble.of(target.utilisation());
            misses.add(line(row, target.target() + " utilisation", utilisation, ">=", least));
        }
    }

    private static void checkRecovery(
            PolicyRow row, String what, OptionalDouble seconds, List<String> misses) {
        if (seconds.isEmpty() || seconds.getAsDouble() > Windows.RECOVERY_SECONDS) {
            misses.add(
                    line(row, what + " recovery seconds", seconds, "<=", Windows.RECOVERY_SECONDS));
        }
    }

    private static String line(
            PolicyRow row, String what, OptionalDouble is, String relation, double bound) {
        String measured = is.isPresent() ? number(is.getAsDouble()) : "never";
        return String.format(
                Locale.ROOT,
                "MISS %s %s seed %d: %s is %s, target %s %s",
                row.scenario(),
                row.policy(),
                row.seed(),
                what,
                measured,
                relation,
                number(bound));
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.4f" : "%.0f", value);
    }
}
