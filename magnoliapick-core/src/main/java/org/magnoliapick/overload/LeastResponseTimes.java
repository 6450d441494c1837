package org.magnoliapick.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * The least time to the first response of each route, from sending the request, over the last one
 * to two windows. Answers loads in which requests arrive with less time left than any upstream
 * needs.
 */
public final class LeastResponseTimes {
    /** The length of a window, in milliseconds; upstreams change their speed within seconds. */
    static final long WINDOW_MILLIS = 5_000;

    private Map<String, Long> mCurrent = new HashMap<>();
    private Map<String, Long> mPrevious = new HashMap<>();
    private long mWindowStartMillis;

    /** Records the time from sending a request to its first response, in milliseconds. */
    public void record(String route, long tookMillis, long nowMillis) {
        rotate(nowMillis);
        mCurrent.merge(route, Math.max(0, tookMillis), Math::min);
    }

    /** Returns the least time of a route, in milliseconds; 0 if none was measured recently. */
    public long leastMillis(String route, long nowMillis) {
        rotate(nowMillis);
        long least =
                Math.min(
                        mCurrent.getOrDefault(route, Long.MAX_VALUE),
                        mPrevious.getOrDefault(route, Long.MAX_VALUE));
        return least == Long.MAX_VALUE ? 0 : least;
    }

    private void rotate(long nowMillis) {
        long ageMillis = nowMillis - mWindowStartMillis;
        if (ageMillis < WINDOW_MILLIS) {
            return;
        }
        mPrevious = ageMillis < 2 * WINDOW_MILLIS ? mCurrent : new HashMap<>();
        mCurrent = new HashMap<>();
        mWindowStartMillis = nowMillis;
    }
}
