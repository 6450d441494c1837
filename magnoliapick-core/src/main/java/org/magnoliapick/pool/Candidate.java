package org.magnoliapick.pool;

import java.util.List;

/**
 * An upstream that is considered for a request.
 *
 * @param job the request
 * @param load the load of the upstream
 * @param newTokens how many tokens of the prompt are not cached there and need prefill
 */
record Candidate(PoolJob job, UpstreamLoad load, long newTokens) {
    /**
     * Returns the fewest tokens that any of the candidates would have to prefill; the given value
     * if there is none.
     */
    static long fewestNewTokens(List<Candidate> candidates, long ifNone) {
        return candidates.stream().mapToLong(Candidate::newTokens).min().orElse(ifNone);
    }
}
