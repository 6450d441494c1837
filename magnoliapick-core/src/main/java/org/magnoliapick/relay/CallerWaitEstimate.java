package org.magnoliapick.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates how long a caller has already waited in earlier attempts, and so tells retries from new
 * requests. A caller that retries states a shorter remaining wait than the longest one seen on its
 * route, by the time that its earlier attempts took.
 */
public final class CallerWaitEstimate {
    /** The minimum elapsed share of the longest wait for a request to count as a retry. */
    private static final double MIN_ELAPSED_SHARE = 0.02;

    private final Map<String, Long> mLongestMillisByRoute = new HashMap<>();

    /**
     * Returns the estimated time between the caller's first attempt and the arrival of this one, in
     * milliseconds; 0 if the request is new.
     *
     * @param leftMillis how long the caller will still wait, if it states that
     */
    public long elapsedMillis(String route, OptionalLong leftMillis) {
        if (leftMillis.isEmpty()) {
            return 0;
        }
        long left = leftMillis.getAsLong();
        long longest = mLongestMillisByRoute.merge(route, left, Math::max);
        long elapsed = longest - left;
        return elapsed > longest * MIN_ELAPSED_SHARE ? elapsed : 0;
    }
}
