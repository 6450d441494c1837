package org.magnoliapick.pool;

/**
 * An upstream weighed for a request.
 *
 * @param load the upstream
 * @param newTokens how many tokens of the prompt it would have to read
 * @param firstMillis how long until the answer, or of streams the first event, is expected
 * @param cost what speaks against it, in milliseconds
 * @param room whether the request can start there now
 */
record Choice(UpstreamLoad load, long newTokens, long firstMillis, double cost, boolean room) {}
