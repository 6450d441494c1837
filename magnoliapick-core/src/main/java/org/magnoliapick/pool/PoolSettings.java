package org.magnoliapick.pool;

import org.magnoliapick.limit.ColdBounds;

/**
 * Settings of a pool.
 *
 * @param shareWindowMillis the time over which the tokens served to workspaces are compared: they
 *     decay exponentially with this time constant
 * @param maxWaiting maximum number of requests of one service that wait at this instance
 * @param cold how far the rates of cold upstreams may be exceeded
 */
public record PoolSettings(long shareWindowMillis, int maxWaiting, ColdBounds cold) {
    /** Creates settings for deployments that state no bounds for cold upstreams. */
    public PoolSettings(long shareWindowMillis, int maxWaiting) {
        this(shareWindowMillis, maxWaiting, ColdBounds.NONE);
    }
}
