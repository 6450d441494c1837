package org.magnoliapick.pool;

import org.magnoliapick.lib.FailureDomain;

/**
 * One upstream weighed for one request.
 *
 * @param job the request
 * @param load the upstream
 * @param newTokens how many tokens of the prompt it would have to read
 * @param domain the failure domain of this instance
 */
record Weighing(PoolJob job, UpstreamLoad load, long newTokens, FailureDomain domain) {}
