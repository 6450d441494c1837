package org.magnoliapick.pool;

/**
 * An upstream that has room for a request.
 *
 * @param load the upstream
 * @param newTokens how many tokens of the prompt it would have to read
 * @param cost what speaks against it, in milliseconds
 */
record ScoredCandidate(UpstreamLoad load, long newTokens, double cost) {}
