package org.magnoliapick.pool;

/**
 * Settings of a pool.
 *
 * @param shareWindowMillis the time over which the tokens served to workspaces are compared: they
 *     decay exponentially with this time constant
 * @param maxWaiting maximum number of requests of one service that wait at this instance
 */
public record PoolSettings(long shareWindowMillis, int maxWaiting) {}
