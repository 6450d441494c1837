package org.magnoliapick.pool;

/**
 * An upstream that is considered for a request.
 *
 * @param job the request
 * @param load the load of the upstream
 * @param newTokens how many tokens of the prompt are not cached there and need prefill
 */
record Candidate(PoolJob job, UpstreamLoad load, long newTokens) {}
