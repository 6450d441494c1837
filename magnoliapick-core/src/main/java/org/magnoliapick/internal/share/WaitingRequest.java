package org.magnoliapick.internal.share;

import java.util.Comparator;
import org.magnoliapick.share.QueuedRequest;

/**
 * A request in a queue.
 *
 * @param request the request
 * @param arrivedMillis when it was queued, in milliseconds since the epoch
 * @param sequence tells apart requests of the same rank
 */
record WaitingRequest(QueuedRequest request, long arrivedMillis, long sequence) {
    /** Orders by rank, so that a class is delayed by its handicap and ages into the front. */
    static final Comparator<WaitingRequest> BY_RANK =
            Comparator.comparingLong(WaitingRequest::rankMillis).thenComparingLong(WaitingRequest::sequence);

    /** Orders by deadline. */
    static final Comparator<WaitingRequest> BY_DEADLINE =
            Comparator.comparingLong((WaitingRequest waiting) -> waiting.request().deadlineMillis())
                    .thenComparingLong(WaitingRequest::sequence);

    /** Returns the time that decides the place in the queue, in milliseconds since the epoch. */
    long rankMillis() {
        return arrivedMillis + request.requestClass().rankDelayMillis();
    }
}
