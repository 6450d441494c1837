package org.magnoliapick.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A half-open time range.
 *
 * @param fromMillis its start, inclusive, in milliseconds since the epoch
 * @param toMillis its end, exclusive, in milliseconds since the epoch
 */
public record TimeRange(long fromMillis, long toMillis) {
    /** Returns the length in milliseconds; 0 if the end is not after the start. */
    public long lengthMillis() {
        return Math.max(0, toMillis - fromMillis);
    }

    /** Returns the intersection with another range, which may have length 0. */
    public TimeRange intersection(TimeRange other) {
        return new TimeRange(
                Math.max(fromMillis, other.fromMillis), Math.min(toMillis, other.toMillis));
    }

    /** Returns the union of the ranges as sorted ranges that neither touch nor overlap. */
    public static List<TimeRange> union(List<TimeRange> ranges) {
        List<TimeRange> sorted = new ArrayList<>(ranges);
        sorted.sort(Comparator.comparingLong(TimeRange::fromMillis));
        List<TimeRange> joined = new ArrayList<>();
        for (TimeRange range : sorted) {
            int last = joined.size() - 1;
            if (last >= 0 && range.fromMillis <= joined.get(last).toMillis) {
                long toMillis = Math.max(joined.get(last).toMillis, range.toMillis);
                joined.set(last, new TimeRange(joined.get(last).fromMillis, toMillis));
            } else if (range.lengthMillis() > 0) {
                joined.add(range);
            }
        }
        return joined;
    }

    /**
     * Returns the total overlap of two lists of ranges in milliseconds. The ranges within each list
     * must not overlap, as in the result of {@link #union}.
     */
    public static long overlapMillis(List<TimeRange> left, List<TimeRange> right) {
        long commonMillis = 0;
        for (TimeRange one : left) {
            for (TimeRange other : right) {
                commonMillis += one.intersection(other).lengthMillis();
            }
        }
        return commonMillis;
    }
}
