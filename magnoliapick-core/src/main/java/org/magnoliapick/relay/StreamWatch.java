package org.magnoliapick.relay;

import org.magnoliapick.route.Route;

/**
 * Detects whether a resumable stream has stalled. Only the head and complete events count as
 * progress: an upstream that sends an event byte by byte and never ends it has stalled like one
 * that sends nothing, and a slow one whose events arrive in time has not.
 */
public final class StreamWatch {
    /** How many gap objectives of its route a begun stream may pass without an event. */
    private static final int STALL_GAPS = 4;

    /** How many latency objectives of its route a stream may pass without a head. */
    private static final int HEAD_OBJECTIVES = 2;

    /**
     * The minimum time without progress after which a stream counts as stalled, in milliseconds.
     */
    private static final long MIN_STALL_MILLIS = 800;

    private final Route mRoute;
    private long mSinceMillis;
    private boolean mBegun;

    /** Creates a watch that starts when the request is sent. */
    public StreamWatch(Route route, long sentMillis) {
        mRoute = route;
        mSinceMillis = sentMillis;
    }

    /** Records the head of the answer or a complete event. */
    public void progressed(long nowMillis) {
        mBegun = true;
        mSinceMillis = nowMillis;
    }

    /** Returns whether the stream has stalled and is to be resumed at another upstream. */
    public boolean isStalled(long nowMillis) {
        if (!mRoute.resumable() || !mRoute.kind().streamed()) {
            return false;
        }
        long stallMillis =
                mBegun
                        ? STALL_GAPS * mRoute.gapObjectiveMillis()
                        : HEAD_OBJECTIVES * mRoute.objectiveMillis();
        return nowMillis - mSinceMillis > Math.max(MIN_STALL_MILLIS, stallMillis);
    }
}
