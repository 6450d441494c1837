package org.magnoliapick.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Tells callers that come back from new ones: a caller that tries again waits less than the longest
 * that callers of its route wait, by the time that its earlier tries took.
 */
public final class CallerWaitEstimate {
    /** The least part of the longest wait that must be gone for a request to count as a return. */
    private static final double TELLING_SHARE = 0.02;

    private final Map<String, Long> mLongestMillisByRoute = new HashMap<>();

    /**
     * Returns how long before its arrival a request was first asked, in milliseconds; 0 if new.
     *
     * @param leftMillis how long its caller will still wait, if it says so
     */
    public long elapsedMillis(String route, OptionalLong leftMillis) {
        if (leftMillis.isEmpty()) {
            return 0;
        }
        long left = leftMillis.getAsLong();
        long longest = mLongestMillisByRoute.merge(route, left, Math::max);
        long elapsed = longest - left;
        return elapsed > longest * TELLING_SHARE ? elapsed : 0;
    }
}
