package org.magnoliapick.pool;

import org.magnoliapick.limit.ColdBounds;

/**
 * Settings of a pool.
 *
 * @param shareWindowMillis the time over which the tokens served to workspaces are compared: they
 *     decay exponentially with this time constant
 * @param maxWaiting maximum number of requests of one service that wait at this instance
 * @param cold how far the rates of cold upstreams may be exceeded
 * @param promptClasses whether long prompts are placed differently from short ones
 */
public record PoolSettings(
        long shareWindowMillis, int maxWaiting, ColdBounds cold, boolean promptClasses) {
    /**
     * Creates settings for deployments that state no bounds for cold upstreams, and with which the
     * length of prompts makes no difference.
     */
    public PoolSettings(long shareWindowMillis, int maxWaiting) {
        this(shareWindowMillis, maxWaiting, ColdBounds.NONE, false);
    }
}
