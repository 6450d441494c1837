package org.magnoliapick.pool;

/**
 * One upstream weighed for one request.
 *
 * @param job the request
 * @param load the upstream
 * @param newTokens how many tokens of the prompt it would have to read
 */
record Candidate(PoolJob job, UpstreamLoad load, long newTokens) {}
