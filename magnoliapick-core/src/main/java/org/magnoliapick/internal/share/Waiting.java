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
record Waiting(QueuedRequest request, long arrivedMillis, long sequence) {
    /** Orders by rank, so that a class is delayed by its handicap and ages into the front. */
    static final Comparator<Waiting> BY_RANK =
            Comparator.comparingLong(Waiting::rankMillis).thenComparingLong(Waiting::sequence);

    /** Orders by deadline. */
    static final Comparator<Waiting> BY_DEADLINE =
            Comparator.comparingLong((Waiting waiting) -> waiting.request().deadlineMillis())
                    .thenComparingLong(Waiting::sequence);

    /** Returns the time that decides the place in the queue, in milliseconds since the epoch. */
    long rankMillis() {
        return arrivedMillis + request.requestClass().rankDelayMillis();
    }
}
