package org.magnoliapick.pool;

/**
 * Waiting requests that go to an upstream before another one.
 *
 * @param requests how many
 * @param newTokens how many tokens it has to read for them
 */
record Before(int requests, long newTokens) {
    /** Nothing. */
    static final Before NONE = new Before(0, 0);

    Before and(long tokens) {
        return new Before(requests + 1, newTokens + tokens);
    }
}
