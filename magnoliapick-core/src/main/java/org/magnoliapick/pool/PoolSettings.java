package org.magnoliapick.pool;

import org.magnoliapick.lib.FailureDomain;

/**
 * What a pool's decisions depend on beside its load.
 *
 * @param domain the failure domain of this instance
 * @param shareWindowMillis over which span workspaces are compared
 * @param maxWaiting how many requests may wait at this instance
 */
public record PoolSettings(FailureDomain domain, long shareWindowMillis, int maxWaiting) {}
