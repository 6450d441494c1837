package org.magnoliapick.pool;

/**
 * What a pool's decisions depend on beside its load.
 *
 * @param shareWindowMillis over which span workspaces are compared
 * @param maxWaiting how many requests may wait at this instance
 */
public record PoolSettings(long shareWindowMillis, int maxWaiting) {}
