package org.magnoliapick.record;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.magnoliapick.lib.RequestId;

/** Bounded buffer of the most recent decisions of an instance. Not thread-safe. */
public final class DecisionRing {
    private final int mMaxDecisions;
    private final Deque<KeptDecision> mDecisions = new ArrayDeque<>();
    private long mDropped;

    /** Creates a buffer that holds at most the given number of decisions. */
    public DecisionRing(int maxDecisions) {
        mMaxDecisions = maxDecisions;
    }

    /** Adds a decision and drops the oldest one if the buffer is full. */
    public void add(KeptDecision decision) {
        mDecisions.addLast(decision);
        if (mDecisions.size() > mMaxDecisions) {
            mDecisions.removeFirst();
            mDropped++;
        }
    }

    /** Returns the buffered decisions about a request, oldest first. */
    public List<KeptDecision> decisionsFor(RequestId request) {
        return mDecisions.stream()
                .filter(kept -> kept.decision().request().filter(request::equals).isPresent())
                .toList();
    }

    /** Returns the number of buffered decisions. */
    public int size() {
        return mDecisions.size();
    }

    /** Returns the number of decisions that were dropped to make room for later ones. */
    public long dropped() {
        return mDropped;
    }
}
