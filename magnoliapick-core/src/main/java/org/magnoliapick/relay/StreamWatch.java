package org.magnoliapick.relay;

import org.magnoliapick.route.Route;

/**
 * Tells whether a stream that may be resumed has gone silent. Only the head and whole events count:
 * an upstream that sends an event byte by byte and never ends it is as silent as one that sends
 * nothing, and a slow one whose events come in time is sound.
 */
public final class StreamWatch {
    /** How many of its longest pauses a stream may be silent before it is resumed elsewhere. */
    private static final int SILENT_PAUSES = 4;

    /** After how many objectives a stream without a head is asked elsewhere. */
    private static final int FIRST_OBJECTIVES = 2;

    /** The shortest silence after which a stream is asked elsewhere, in milliseconds. */
    private static final long LEAST_SILENT_MILLIS = 800;

    private final Route mRoute;
    private long mSinceMillis;
    private boolean mBegun;

    /** Begins when the request was sent. */
    public StreamWatch(Route route, long sentMillis) {
        mRoute = route;
        mSinceMillis = sentMillis;
    }

    /** Notes the head of the answer or a whole event. */
    public void progressed(long nowMillis) {
        mBegun = true;
        mSinceMillis = nowMillis;
    }

    /** Returns whether the stream is to be resumed elsewhere. */
    public boolean isStalled(long nowMillis) {
        if (!mRoute.resumable() || !mRoute.kind().streamed()) {
            return false;
        }
        long silentMillis =
                mBegun
                        ? SILENT_PAUSES * mRoute.pauseObjectiveMillis()
                        : FIRST_OBJECTIVES * mRoute.objectiveMillis();
        return nowMillis - mSinceMillis > Math.max(LEAST_SILENT_MILLIS, silentMillis);
    }
}
