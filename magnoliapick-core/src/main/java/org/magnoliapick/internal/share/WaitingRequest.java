package org.magnoliapick.internal.share;

import java.util.Comparator;
import org.magnoliapick.share.QueuedRequest;

/**
 * A queued request.
 *
 * @param request the request
 * @param arrivedMillis when it was queued, in milliseconds since the epoch
 * @param sequence the order of arrival, which breaks ties
 */
record WaitingRequest(QueuedRequest request, long arrivedMillis, long sequence) {
    /**
     * Orders by rank. The handicap of a low class delays its requests but cannot starve them,
     * because a request that waits longer than its handicap is ahead of all new arrivals.
     */
    static final Comparator<WaitingRequest> BY_RANK =
            Comparator.comparingLong(WaitingRequest::rankMillis)
                    .thenComparingLong(WaitingRequest::sequence);

    /** Orders by deadline. */
    static final Comparator<WaitingRequest> BY_DEADLINE =
            Comparator.comparingLong((WaitingRequest waiting) -> waiting.request().deadlineMillis())
                    .thenComparingLong(WaitingRequest::sequence);

    /** Returns the arrival plus the handicap of the class, in milliseconds since the epoch. */
    long rankMillis() {
        return arrivedMillis + request.requestClass().rankDelayMillis();
    }
}
