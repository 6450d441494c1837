package org.magnoliapick.record;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BinaryOperator;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.WorkspaceId;

/**
 * Aggregated decisions about the requests of one workspace in a span of time.
 *
 * @param admitted the number of requests queued
 * @param ended the number of requests that ended after they were started
 * @param usedUnits the service that the ended requests used
 * @param waitedMillis the total time that started requests had waited, by cause
 * @param aheadMillis the part of that time spent behind other workspaces, by workspace
 * @param refused the number of requests refused, by cause
 * @param backlogged the time ranges in which at least one request waited
 * @param levels how many requests met and missed the service-level objective of their class, by
 *     class
 */
public record WorkspaceSummary(
        long admitted,
        long ended,
        double usedUnits,
        Map<Cause, Long> waitedMillis,
        Map<WorkspaceId, Long> aheadMillis,
        Map<Cause, Long> refused,
        List<TimeRange> backlogged,
        Map<RequestClass, LevelCounts> levels) {
    /** A summary without activity. */
    public static final WorkspaceSummary NONE =
            new WorkspaceSummary(0, 0, 0, Map.of(), Map.of(), Map.of(), List.of(), Map.of());

    /** Creates a summary; the collections are copied. */
    public WorkspaceSummary {
        waitedMillis = Map.copyOf(waitedMillis);
        aheadMillis = Map.copyOf(aheadMillis);
        refused = Map.copyOf(refused);
        backlogged = List.copyOf(backlogged);
        levels = Map.copyOf(levels);
    }

    /** Returns the sum of this summary and one of another instance or another span of time. */
    public WorkspaceSummary plus(WorkspaceSummary other) {
        List<TimeRange> ranges = new ArrayList<>(backlogged);
        ranges.addAll(other.backlogged);
        return new WorkspaceSummary(
                admitted + other.admitted,
                ended + other.ended,
                usedUnits + other.usedUnits,
                merged(waitedMillis, other.waitedMillis, new EnumMap<>(Cause.class), Long::sum),
                merged(aheadMillis, other.aheadMillis, new HashMap<>(), Long::sum),
                merged(refused, other.refused, new EnumMap<>(Cause.class), Long::sum),
                TimeRange.union(ranges),
                merged(levels, other.levels, new EnumMap<>(RequestClass.class), LevelCounts::plus));
    }

    /** Returns the total time waited over all causes, in milliseconds. */
    public long totalWaitedMillis() {
        return waitedMillis.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the total time in which at least one request waited, in milliseconds. */
    public long backloggedMillis() {
        return backlogged.stream().mapToLong(TimeRange::lengthMillis).sum();
    }

    private static <K, V> Map<K, V> merged(
            Map<K, V> left, Map<K, V> right, Map<K, V> into, BinaryOperator<V> add) {
        into.putAll(left);
        right.forEach((key, value) -> into.merge(key, value, add));
        return into;
    }
}
