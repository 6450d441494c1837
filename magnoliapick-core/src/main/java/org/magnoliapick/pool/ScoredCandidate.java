package org.magnoliapick.pool;

/**
 * An upstream that has room for a request, with its cost.
 *
 * @param load the load of the upstream
 * @param newTokens how many tokens of the prompt are not cached there and need prefill
 * @param cost the cost of this upstream, in milliseconds of waiting; the lowest cost is chosen
 */
record ScoredCandidate(UpstreamLoad load, long newTokens, double cost) {}
