package org.magnoliapick.load;

import java.util.Optional;

/**
 * How one sending of a request ended.
 *
 * @param verdict what the caller may conclude
 * @param error the error kind that was named; blank if none
 * @param retryAfterMillis wait before the request may be sent again; empty if it may not
 * @param firstByteNanos when the first byte of the body came, by the monotonic clock; 0 if none did
 * @param tokens tokens that the answer cost
 * @param heldMillis milliseconds that the answer held a worker
 */
record Attempt(
        Verdict verdict,
        String error,
        Optional<Long> retryAfterMillis,
        long firstByteNanos,
        long tokens,
        long heldMillis) {
    static Attempt without(Verdict verdict, String error, Optional<Long> retryAfterMillis) {
        return new Attempt(verdict, error, retryAfterMillis, 0, 0, 0);
    }
}
