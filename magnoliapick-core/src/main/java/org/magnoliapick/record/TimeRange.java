package org.magnoliapick.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A span of time.
 *
 * @param fromMillis its beginning, in milliseconds since the epoch
 * @param toMillis its end, not included
 */
public record TimeRange(long fromMillis, long toMillis) {
    /** Returns the length in milliseconds. */
    public long lengthMillis() {
        return Math.max(0, toMillis - fromMillis);
    }

    /** Returns the part inside another range, possibly empty. */
    public TimeRange intersection(TimeRange other) {
        return new TimeRange(
                Math.max(fromMillis, other.fromMillis), Math.min(toMillis, other.toMillis));
    }

    /** Joins ranges that touch or overlap; the result is sorted. */
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

    /** Returns the length that two sorted unions have in common, in milliseconds. */
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
