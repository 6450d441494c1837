package org.magnoliapick.router.internal;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.concurrent.atomic.AtomicBoolean;

/** Whether this instance wants new requests: it has a configuration and is not stopping. */
@Singleton
public final class Readiness {
    private final AtomicBoolean mHasConfig = new AtomicBoolean();
    private final AtomicBoolean mLeaving = new AtomicBoolean();
    private final AtomicBoolean mClosed = new AtomicBoolean();

    @Inject
    Readiness() {}

    /** Notes that a configuration is in force. */
    public void configured() {
        mHasConfig.set(true);
    }

    /** Notes that a planned stop has begun; requests that still come are served. */
    public void leave() {
        mLeaving.set(true);
    }

    /** Notes that the balancer has had its time; requests that still come are refused. */
    public void close() {
        mClosed.set(true);
    }

    /** Returns whether the balancer should send requests. */
    public boolean isReady() {
        return mHasConfig.get() && !mLeaving.get();
    }

    /** Returns whether a planned stop has begun. */
    public boolean isLeaving() {
        return mLeaving.get();
    }

    /** Returns whether a request that comes now is taken. */
    public boolean takesRequests() {
        return mHasConfig.get() && !mClosed.get();
    }
}
