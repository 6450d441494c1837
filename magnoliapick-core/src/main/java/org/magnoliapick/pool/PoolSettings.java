package org.magnoliapick.pool;

/**
 * Settings of a pool.
 *
 * @param shareWindowMillis the time over which the tokens served to workspaces are compared: they
 *     decay exponentially with this time constant
 * @param maxWaiting maximum number of requests of one service that wait at this instance
 * @param promptClasses whether long prompts are placed differently from short ones
 */
public record PoolSettings(long shareWindowMillis, int maxWaiting, boolean promptClasses) {
    /** Creates settings with which the length of prompts makes no difference. */
    public PoolSettings(long shareWindowMillis, int maxWaiting) {
        this(shareWindowMillis, maxWaiting, false);
    }
}
