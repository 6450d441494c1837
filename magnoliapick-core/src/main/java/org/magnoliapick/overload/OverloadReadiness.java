package org.magnoliapick.overload;

/**
 * Whether an overloaded instance reports that it is not ready, so that the balancer sends new
 * connections to other instances. Answers loads that are pinned to one instance while others are
 * idle. An instance is not ready for at most a tenth of the time, because an instance that is never
 * ready serves nobody.
 */
public final class OverloadReadiness {
    /** How long an overload lasts until the instance is not ready, in milliseconds. */
    static final long MIN_OVERLOAD_MILLIS = 2_000;

    /** How long an instance without overload stays not ready, in milliseconds. */
    static final long MIN_CALM_MILLIS = 1_000;

    /**
     * The maximum time not ready at a stretch, in milliseconds. The platform polls once a second
     * and removes an instance after two misses, so this keeps it out of rotation for some seconds.
     */
    static final long MAX_NOT_READY_MILLIS = 5_000;

    /** How many times as long as it was not ready an instance is ready afterwards. */
    static final long READY_FACTOR = 9;

    private boolean mOverloaded;
    private long mStateSinceMillis;
    private boolean mReady = true;
    private long mNotReadySinceMillis;
    private long mReadyUntilMillis = Long.MIN_VALUE;

    /** Records whether the instance is overloaded now; returns whether it is ready. */
    public boolean update(boolean overloaded, long nowMillis) {
        if (overloaded != mOverloaded) {
            mOverloaded = overloaded;
            mStateSinceMillis = nowMillis;
        }
        long stateMillis = nowMillis - mStateSinceMillis;
        if (mReady) {
            if (mOverloaded
                    && stateMillis >= MIN_OVERLOAD_MILLIS
                    && nowMillis >= mReadyUntilMillis) {
                mReady = false;
                mNotReadySinceMillis = nowMillis;
            }
        } else {
            long notReadyMillis = nowMillis - mNotReadySinceMillis;
            boolean calm = !mOverloaded && stateMillis >= MIN_CALM_MILLIS;
            if (calm || notReadyMillis >= MAX_NOT_READY_MILLIS) {
                mReady = true;
                mReadyUntilMillis = nowMillis + READY_FACTOR * notReadyMillis;
            }
        }
        return mReady;
    }
}
